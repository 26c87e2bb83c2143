"""Leaders, a network that delays orders, and a fleet, on a manual clock."""

from collections.abc import Mapping
import dataclasses

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import placement
from lagooncrank.core import routing
from lagooncrank.core import state
from standins import fleet as fleets

STEP_MS = 500
LEADER_LEASE_MS = 2_000
MAX_ORDER_MS = 12_000
STORE = fleets.Store(bytes_per_s=2_000, bytes_per_s_per_engine=1_000)
DRAFTS = model.ModelService(
    name=model.ServiceName("drafts"),
    version="v1",
    replicas=2,
    replicas_floor=1,
    instances_per_replica=3,
    weight_bytes_per_instance=2_000,
)
LETTERS = dataclasses.replace(
    DRAFTS,
    name=model.ServiceName("letters"),
    replicas=1,
    replicas_floor=0,
    instances_per_replica=2,
)
RULES = model.PlacementRules(
    spare_instances=1,
    pause_grace_ms=1_000,
    hold_down_ms=2_000,
    max_order_ms=MAX_ORDER_MS,
)


@dataclasses.dataclass(slots=True)
class Leader:
    """A planner with the state that its node has applied."""

    planner: placement.Planner
    #: None while it follows the log; else the state at its cut-off.
    stale: Mapping[model.ReplicaId, model.Replica] | None = None
    stale_number: int = 0
    acts_until_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class InFlight:
    """An order underway."""

    send: placement.OutgoingOrder
    sender: Leader
    arrives_ms: int
    dropped_ms: int


class World:
    """One run of generated failures."""

    def __init__(
        self,
        policy: str,
        checks_fencing: tuple[bool, ...] = (True, False),
        domains: tuple[int, ...] = (6, 3),
    ) -> None:
        self.policy = policy
        self.fleet = fleets.Fleet(domains, STORE, checks_fencing)
        self.machine = state.StateMachine()
        self.deposed: list[Leader] = []
        self.in_flight: list[InFlight] = []
        self.delay_ms = 0
        self.answers_lost = False
        self.refusals: tuple[results.Refusal, ...] = ()
        self.drained: frozenset[model.InstanceId] = frozenset()
        self.declarations = model.Declarations(
            model_services=(DRAFTS, LETTERS), placement=RULES
        )
        self.leader = self._new_leader()

    def step(self) -> None:
        """Moves time on by one step of every leader."""
        self.fleet.advance(STEP_MS)
        self._deliver()
        now_ms = self.fleet.now_ms
        self.deposed = [d for d in self.deposed if d.acts_until_ms > now_ms]
        for deposed in self.deposed:
            self._lead(deposed)
        decision = self._lead(self.leader)
        self.refusals = decision.refusals
        for command in decision.commands:
            outcome = self.machine.apply(
                self.machine.applied_index + 1, command
            )
            if not outcome.ok:
                break

    def change_leader(self, cut_off: bool) -> None:
        """Replaces the leader; a cut-off one acts on until its lease ends."""
        if cut_off:
            self.leader.stale = dict(self.machine.replicas)
            self.leader.stale_number = self.machine.last_fencing_number
            self.leader.acts_until_ms = self.fleet.now_ms + LEADER_LEASE_MS
            self.deposed.append(self.leader)
        self.leader = self._new_leader()

    def declare_version(self, version: str) -> None:
        """Declares another version of every model service."""
        services = tuple(
            dataclasses.replace(s, version=version)
            for s in self.declarations.model_services
        )
        self.declarations = self.declarations.with_changes(
            model_services=services
        )

    def end_drains(self) -> None:
        """Gives every drained instance back."""
        self.drained = frozenset()

    def heal(self) -> None:
        """Ends every failure and every drain."""
        self.end_drains()
        self.delay_ms = 0
        self.answers_lost = False
        for engine in self.fleet.engines:
            engine.set_state(model.BackendServerState.READY)
            engine.is_paused = False
            if not engine.is_running:
                engine.start()

    def served(self) -> list[model.Replica]:
        """Returns what entries with any of the views route to."""
        now_ms = self.fleet.now_ms
        members = routing.index_members(self.fleet.members())
        views: list[Mapping[model.ReplicaId, model.Replica]]
        views = [self.machine.replicas]
        views += [d.stale for d in self.deposed if d.stale is not None]
        return [
            replica
            for view in views
            for replica in view.values()
            if routing.has_all_members_ready(replica, members, now_ms)
        ]

    def serving_count(self, service: model.ModelService) -> int:
        """Returns how many replicas of a service serve."""
        ids = {r.replica_id for r in self.served() if r.service == service.name}
        return len(ids)

    def _new_leader(self) -> Leader:
        return Leader(
            placement.Planner(
                policy=placement.POLICIES.get(self.policy)(),
                rules=placement.FencingRules(LEADER_LEASE_MS, MAX_ORDER_MS),
                leader_since_ms=self.fleet.now_ms,
                last_fencing_number=self.machine.last_fencing_number,
            )
        )

    def _lead(self, leader: Leader) -> placement.Decision:
        replicas: Mapping[model.ReplicaId, model.Replica] = (
            self.machine.replicas if leader.stale is None else leader.stale
        )
        number = self.machine.last_fencing_number
        now_ms = self.fleet.now_ms
        decision = leader.planner.step(
            placement.ClusterSnapshot(
                declarations=self.declarations,
                replicas=replicas,
                last_fencing_number=(
                    number if leader.stale is None else leader.stale_number
                ),
                members=tuple(self.fleet.members()),
                drained=self.drained,
            ),
            now_ms,
        )
        self.in_flight += [
            InFlight(
                send, leader, now_ms + self.delay_ms, now_ms + MAX_ORDER_MS
            )
            for send in decision.orders
        ]
        return decision

    def _deliver(self) -> None:
        now_ms = self.fleet.now_ms
        kept = []
        for order in self.in_flight:
            if order.dropped_ms <= now_ms:
                self._answer(order, placement.OrderState.UNANSWERED)
            elif order.arrives_ms > now_ms or not self._reaches(order):
                kept.append(order)
            else:
                answer = self.fleet.deliver(order.send)
                if self.answers_lost:
                    answer = placement.OrderState.UNANSWERED
                self._answer(order, answer)
        self.in_flight = kept

    def _reaches(self, order: InFlight) -> bool:
        return self.fleet.by_id[order.send.instance_id].speaks

    def _answer(self, order: InFlight, answer: placement.OrderState) -> None:
        instance_id = order.send.instance_id
        order_id = order.send.order.order_id
        order.sender.planner.record_result(
            placement.OrderResult(instance_id, order_id, answer),
            self.fleet.now_ms,
        )
