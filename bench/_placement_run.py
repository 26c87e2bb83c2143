"""Simulates a placement policy over one day of generated failures."""

from collections.abc import Sequence
import dataclasses
import time

from bench import _failure_schedule
from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank.core import placement
from lagooncrank.core import state
from standins import fleet as fleets

#: Time without changes after which the simulation skips ahead.
QUIET_PERIOD_MS = 30_000
#: Maximum time that one step of the simulation skips.
MAX_SKIP_MS = 30_000
LEADER_LEASE_MS = 2_000
#: Maximum number of consecutive planning steps, as long as each changes the
#: state.
MAX_CONSECUTIVE_STEPS = 4
#: Simulated time before costs count. The first replicas form in it, with a
#: weight store so fast that loads take almost no time.
WARM_UP_MS = 10 * _failure_schedule.MS_PER_MINUTE
_WARM_UP_STORE = fleets.WeightStoreLimits(10**15, 10**14)


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Fleet, model service and rules of one user."""

    name: str
    failure_plan: _failure_schedule.FailurePlan
    service: model.ModelService
    rules: model.PlacementRules
    weight_store: model.WeightStoreRules
    store: fleets.WeightStoreLimits
    #: Whether each engine checks fencing numbers, by its index modulo the
    #: length.
    checks_fencing: tuple[bool, ...] = (True,)
    #: Accelerators per instance.
    accelerators: int = 8
    #: Time between planning steps while changes occur.
    step_interval_ms: int = 1_000


@dataclasses.dataclass(slots=True)
class RunTotals:
    """Costs and counts of one run.

    The fields that start with `bound` are lower bounds, also for a policy that
    knows every failure in advance.
    """

    downtime_replica_s: float = 0.0
    stranded_accelerator_s: float = 0.0
    bound_downtime_replica_s: float = 0.0
    bound_stranded_accelerator_s: float = 0.0
    loads: int = 0
    #: Changes of the replicated state.
    changes: int = 0
    step_durations_ms: list[float] = dataclasses.field(default_factory=list)


class PlacementRun:
    """Simulation of one deployment under one placement policy."""

    def __init__(self, deployment: Deployment, policy: str, seed: int) -> None:
        self._deployment = deployment
        self._pending_events = _failure_schedule.generate_events(
            deployment.failure_plan, seed
        )
        self._fleet = fleets.Fleet(
            deployment.failure_plan.instances_per_domain,
            _WARM_UP_STORE,
            deployment.checks_fencing,
            deployment.accelerators,
        )
        self._state_machine = state.StateMachine()
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
        self._last_change_ms = 0
        self.totals = RunTotals()

    def run(self, until_ms: int) -> RunTotals:
        """Runs until `until_ms` and counts costs from `WARM_UP_MS` on."""
        while self._fleet.now_ms < until_ms:
            now_ms = self._fleet.now_ms
            self._apply_due_events(now_ms)
            self._run_steps()
            duration_ms = self._next_step_ms(now_ms) - now_ms
            if now_ms >= WARM_UP_MS:
                self._fleet.store = self._deployment.store
                self._add_costs(duration_ms / clocks.MS_PER_S)
            self._fleet.advance(duration_ms)
        return self.totals

    def _next_step_ms(self, now_ms: int) -> int:
        if now_ms - self._last_change_ms < QUIET_PERIOD_MS:
            return now_ms + self._deployment.step_interval_ms
        next_ms = now_ms + MAX_SKIP_MS
        if self._pending_events:
            next_ms = min(next_ms, self._pending_events[0].at_ms)
        load_end_ms = self._fleet.next_load_end_ms()
        if load_end_ms is not None:
            next_ms = min(next_ms, load_end_ms)
        return max(now_ms + self._deployment.step_interval_ms, next_ms)

    def _apply_due_events(self, now_ms: int) -> None:
        while self._pending_events and self._pending_events[0].at_ms <= now_ms:
            event = self._pending_events.pop(0)
            self._last_change_ms = now_ms
            for index in event.engine_indexes:
                _apply_action(event.action, self._fleet.engines[index])

    def _run_steps(self) -> None:
        """Plans again immediately after a change, as the driver does."""
        for _ in range(MAX_CONSECUTIVE_STEPS):
            if not self._run_step():
                return

    def _run_step(self) -> bool:
        snapshot = placement.ClusterSnapshot(
            declarations=self._declarations,
            replicas=self._state_machine.replicas,
            last_fencing_number=self._state_machine.last_fencing_number,
            members=tuple(self._fleet.members()),
        )
        now_ms = self._fleet.now_ms
        started_s = time.perf_counter()
        decision = self._planner.step(snapshot, now_ms)
        self.totals.step_durations_ms.append(
            (time.perf_counter() - started_s) * 1_000
        )
        if decision.commands or decision.orders:
            self._last_change_ms = now_ms
        self._deliver_orders(decision.orders)
        for command in decision.commands:
            self._state_machine.apply(
                self._state_machine.applied_index + 1, command
            )
        self.totals.changes += len(decision.commands)
        return bool(decision.commands)

    def _deliver_orders(
        self, orders: Sequence[placement.OutgoingOrder]
    ) -> None:
        for outgoing in orders:
            result = placement.OrderResult(
                outgoing.instance_id,
                outgoing.order.order_id,
                self._fleet.deliver(outgoing),
            )
            self._planner.record_result(result, self._fleet.now_ms)
            self.totals.loads += outgoing.order.kind is placement.OrderKind.LOAD

    def _add_costs(self, duration_s: float) -> None:
        service = self._deployment.service
        serving = [
            r
            for r in self._state_machine.replicas.values()
            if self._is_serving(r)
        ]
        powered_accelerators = sum(
            e.accelerators for e in self._fleet.engines if e.is_running
        )
        serving_accelerators = sum(
            self._fleet.by_id[i].accelerators
            for r in serving
            for i in r.instances
        )
        max_replicas_now = self._max_replicas()
        accelerators_per_replica = self._deployment.accelerators * (
            service.instances_per_replica
        )
        ideal_replicas = min(
            max_replicas_now, max(service.replicas, service.max_replicas)
        )
        totals = self.totals
        totals.downtime_replica_s += duration_s * max(
            0, service.replicas - len(serving)
        )
        totals.stranded_accelerator_s += duration_s * (
            powered_accelerators - serving_accelerators
        )
        totals.bound_downtime_replica_s += duration_s * max(
            0, service.replicas - max_replicas_now
        )
        totals.bound_stranded_accelerator_s += duration_s * (
            powered_accelerators - ideal_replicas * accelerators_per_replica
        )

    def _max_replicas(self) -> int:
        """Returns how many complete replicas the live instances allow."""
        live: dict[str, int] = {}
        for engine in self._fleet.engines:
            if engine.is_announcing:
                live[engine.domain] = live.get(engine.domain, 0) + 1
        size = self._deployment.service.instances_per_replica
        return sum(count // size for count in live.values())

    def _is_serving(self, replica: model.Replica) -> bool:
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


def _apply_action(
    action: _failure_schedule.EngineAction, engine: fleets.Engine
) -> None:
    if action is _failure_schedule.EngineAction.STOP:
        engine.stop()
    elif action is _failure_schedule.EngineAction.START:
        engine.start()
    else:
        engine.is_paused = action is _failure_schedule.EngineAction.PAUSE
