"""Runs one placement policy through a generated day."""

from collections.abc import Sequence
import dataclasses
import time

from bench import _fail_day
from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank.core import placement
from lagooncrank.core import state
from standins import fleet as fleets

#: Time without any change after which the run jumps ahead.
CALM_MS = 30_000
#: Longest jump.
JUMP_MS = 30_000
LEADER_LEASE_MS = 2_000
#: Steps that the driver makes at once while each changes something.
MAX_STEPS_AT_ONCE = 4
#: Time in which the replicas form first, from a faster store.
WARM_UP_MS = 10 * _fail_day.MINUTE_MS
_WARM_UP_STORE = fleets.WeightStoreLimits(10**15, 10**14)


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A user's fleet, services and rules."""

    name: str
    day: _fail_day.DayPlan
    service: model.ModelService
    rules: model.PlacementRules
    weight_store: model.WeightStoreRules
    store: fleets.WeightStoreLimits
    #: Whether engines check fencing numbers, in turns.
    checks_fencing: tuple[bool, ...] = (True,)
    accelerators: int = 8
    #: Time between steps of the planner while anything changes.
    step_ms: int = 1_000


@dataclasses.dataclass(slots=True)
class Tally:
    """What one run cost."""

    downtime_replica_s: float = 0.0
    stranded_accelerator_s: float = 0.0
    bound_downtime_replica_s: float = 0.0
    bound_stranded_accelerator_s: float = 0.0
    loads: int = 0
    changes: int = 0
    step_ms: list[float] = dataclasses.field(default_factory=list)


class Run:
    """One day of one deployment under one policy."""

    def __init__(self, deployment: Deployment, policy: str, seed: int) -> None:
        self._deployment = deployment
        self._events = _fail_day.events(deployment.day, seed)
        self._fleet = fleets.Fleet(
            deployment.day.domains,
            _WARM_UP_STORE,
            deployment.checks_fencing,
            deployment.accelerators,
        )
        self._machine = state.StateMachine()
        self._planner = placement.Planner(
            placement.POLICIES.get(policy)(),
            placement.FencingRules(
                LEADER_LEASE_MS, deployment.rules.max_order_ms
            ),
            leader_since_ms=0,
            last_fencing_number=0,
        )
        self._declarations = model.Declarations(
            model_services=(deployment.service,),
            placement=deployment.rules,
            weight_store=deployment.weight_store,
        )
        self._changed_ms = 0
        self.tally = Tally()

    def run(self, until_ms: int) -> Tally:
        """Runs up to `until_ms` and counts from `WARM_UP_MS` on."""
        while self._fleet.now_ms < until_ms:
            now_ms = self._fleet.now_ms
            self._strike(now_ms)
            self._steps()
            duration_ms = self._next_step_ms(now_ms) - now_ms
            if now_ms >= WARM_UP_MS:
                self._fleet.store = self._deployment.store
                self._account(duration_ms / clocks.MS_PER_S)
            self._fleet.advance(duration_ms)
        return self.tally

    def _next_step_ms(self, now_ms: int) -> int:
        if now_ms - self._changed_ms < CALM_MS:
            return now_ms + self._deployment.step_ms
        following_ms = now_ms + JUMP_MS
        if self._events:
            following_ms = min(following_ms, self._events[0].at_ms)
        load_end_ms = self._fleet.next_load_end_ms()
        if load_end_ms is not None:
            following_ms = min(following_ms, load_end_ms)
        return max(now_ms + self._deployment.step_ms, following_ms)

    def _strike(self, now_ms: int) -> None:
        while self._events and self._events[0].at_ms <= now_ms:
            event = self._events.pop(0)
            self._changed_ms = now_ms
            for index in event.engines:
                _apply(event.failure, self._fleet.engines[index])

    def _steps(self) -> None:
        """Steps as the driver does: at once again after a change."""
        for _ in range(MAX_STEPS_AT_ONCE):
            if not self._step():
                return

    def _step(self) -> bool:
        snapshot = placement.ClusterSnapshot(
            declarations=self._declarations,
            replicas=self._machine.replicas,
            last_fencing_number=self._machine.last_fencing_number,
            members=tuple(self._fleet.members()),
        )
        now_ms = self._fleet.now_ms
        started_s = time.perf_counter()
        decision = self._planner.step(snapshot, now_ms)
        self.tally.step_ms.append((time.perf_counter() - started_s) * 1_000)
        if decision.commands or decision.orders:
            self._changed_ms = now_ms
        self._send(decision.orders)
        for command in decision.commands:
            self._machine.apply(self._machine.applied_index + 1, command)
        self.tally.changes += len(decision.commands)
        return bool(decision.commands)

    def _send(self, orders: Sequence[placement.OutgoingOrder]) -> None:
        for send in orders:
            answer = placement.OrderResult(
                send.instance_id,
                send.order.order_id,
                self._fleet.deliver(send),
            )
            self._planner.record_result(answer, self._fleet.now_ms)
            self.tally.loads += send.order.kind is placement.OrderKind.LOAD

    def _account(self, duration_s: float) -> None:
        service = self._deployment.service
        serving = [r for r in self._machine.replicas.values() if self._is_up(r)]
        powered = sum(
            e.accelerators for e in self._fleet.engines if e.is_running
        )
        used = sum(
            self._fleet.by_id[i].accelerators
            for r in serving
            for i in r.instances
        )
        possible = self._possible()
        per_replica = self._deployment.accelerators * (
            service.instances_per_replica
        )
        best = min(possible, max(service.replicas, service.max_replicas))
        tally = self.tally
        tally.downtime_replica_s += duration_s * max(
            0, service.replicas - len(serving)
        )
        tally.stranded_accelerator_s += duration_s * (powered - used)
        tally.bound_downtime_replica_s += duration_s * max(
            0, service.replicas - possible
        )
        tally.bound_stranded_accelerator_s += duration_s * (
            powered - best * per_replica
        )

    def _possible(self) -> int:
        """Returns how many replicas perfect foresight could have whole."""
        live: dict[str, int] = {}
        for engine in self._fleet.engines:
            if engine.is_announcing:
                live[engine.domain] = live.get(engine.domain, 0) + 1
        size = self._deployment.service.instances_per_replica
        return sum(count // size for count in live.values())

    def _is_up(self, replica: model.Replica) -> bool:
        if replica.state is not model.ReplicaState.SERVING:
            return False
        for instance_id in replica.instances:
            engine = self._fleet.by_id[instance_id]
            loaded = engine.order_executor.loaded
            if not engine.is_announcing or loaded is None or not loaded.ready:
                return False
            if loaded.fencing_number != replica.fencing_number:
                return False
        return True


def _apply(failure: _fail_day.Failure, engine: fleets.Engine) -> None:
    if failure is _fail_day.Failure.STOP:
        engine.stop()
    elif failure is _fail_day.Failure.START:
        engine.start()
    else:
        engine.is_paused = failure is _fail_day.Failure.PAUSE
