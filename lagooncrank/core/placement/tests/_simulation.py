"""Simulated cluster: leaders, order delivery and engines on a manual clock."""

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
STORE = fleets.WeightStoreLimits(
    bytes_per_s=2_000, bytes_per_s_per_engine=1_000
)
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
    """A planner and the replicated state that its node has applied."""

    planner: placement.Planner
    #: Replicas at the time of the partition; None while it follows the log.
    stale_replicas: Mapping[model.ReplicaId, model.Replica] | None = None
    #: Last fencing number at the time of the partition.
    stale_fencing_number: int = 0
    #: When a partitioned leader stops acting.
    lease_end_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class InFlightOrder:
    """An order on its way to an engine."""

    outgoing: placement.OutgoingOrder
    sender: Leader
    arrival_ms: int
    expiry_ms: int


class SimulatedCluster:
    """A cluster to which tests apply failures."""

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
        self.in_flight: list[InFlightOrder] = []
        self.order_delay_ms = 0
        self.drop_responses = False
        self.refusals: tuple[results.Refusal, ...] = ()
        self.drained: frozenset[model.InstanceId] = frozenset()
        self.declarations = model.Declarations(
            model_services=(DRAFTS, LETTERS), placement=RULES
        )
        self.leader = self._new_leader()

    def step(self) -> None:
        """Advances time by one planning step of every leader."""
        self.fleet.advance(STEP_MS)
        self._deliver_orders()
        now_ms = self.fleet.now_ms
        self.deposed = [d for d in self.deposed if d.lease_end_ms > now_ms]
        for deposed in self.deposed:
            self._run_leader(deposed)
        decision = self._run_leader(self.leader)
        self.refusals = decision.refusals
        for command in decision.commands:
            outcome = self.machine.apply(
                self.machine.applied_index + 1, command
            )
            if not outcome.ok:
                break

    def replace_leader(self, is_partitioned: bool) -> None:
        """Replaces the leader.

        A partitioned leader continues with stale state until its lease
        expires.
        """
        if is_partitioned:
            self.leader.stale_replicas = dict(self.machine.replicas)
            self.leader.stale_fencing_number = self.machine.last_fencing_number
            self.leader.lease_end_ms = self.fleet.now_ms + LEADER_LEASE_MS
            self.deposed.append(self.leader)
        self.leader = self._new_leader()

    def declare_version(self, version: str) -> None:
        """Declares a new version of every model service."""
        services = tuple(
            dataclasses.replace(s, version=version)
            for s in self.declarations.model_services
        )
        self.declarations = self.declarations.with_changes(
            model_services=services
        )

    def end_drains(self) -> None:
        """Ends the drain of every instance."""
        self.drained = frozenset()

    def heal(self) -> None:
        """Ends every failure and every drain."""
        self.end_drains()
        self.order_delay_ms = 0
        self.drop_responses = False
        for engine in self.fleet.engines:
            engine.set_state(model.BackendServerState.READY)
            engine.is_paused = False
            if not engine.is_running:
                engine.start()

    def serving_replicas(self) -> list[model.Replica]:
        """Returns the replicas to which some entry may route.

        Entries may see the current state or that of a partitioned leader.
        """
        now_ms = self.fleet.now_ms
        members = routing.index_members(self.fleet.members())
        views: list[Mapping[model.ReplicaId, model.Replica]]
        views = [self.machine.replicas]
        views += [
            d.stale_replicas
            for d in self.deposed
            if d.stale_replicas is not None
        ]
        return [
            replica
            for view in views
            for replica in view.values()
            if routing.has_all_members_ready(replica, members, now_ms)
        ]

    def serving_count(self, service: model.ModelService) -> int:
        """Returns how many replicas of a service are serving."""
        ids = {
            r.replica_id
            for r in self.serving_replicas()
            if r.service == service.name
        }
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

    def _run_leader(self, leader: Leader) -> placement.Decision:
        replicas: Mapping[model.ReplicaId, model.Replica] = (
            self.machine.replicas
            if leader.stale_replicas is None
            else leader.stale_replicas
        )
        number = self.machine.last_fencing_number
        now_ms = self.fleet.now_ms
        decision = leader.planner.step(
            placement.ClusterSnapshot(
                declarations=self.declarations,
                replicas=replicas,
                last_fencing_number=(
                    number
                    if leader.stale_replicas is None
                    else leader.stale_fencing_number
                ),
                members=tuple(self.fleet.members()),
                drained=self.drained,
            ),
            now_ms,
        )
        self.in_flight += [
            InFlightOrder(
                outgoing,
                leader,
                now_ms + self.order_delay_ms,
                now_ms + MAX_ORDER_MS,
            )
            for outgoing in decision.orders
        ]
        return decision

    def _deliver_orders(self) -> None:
        now_ms = self.fleet.now_ms
        undelivered = []
        for order in self.in_flight:
            if order.expiry_ms <= now_ms:
                self._report_result(order, placement.OrderState.UNANSWERED)
            elif order.arrival_ms > now_ms or not self._is_reachable(order):
                undelivered.append(order)
            else:
                order_state = self.fleet.deliver(order.outgoing)
                if self.drop_responses:
                    order_state = placement.OrderState.UNANSWERED
                self._report_result(order, order_state)
        self.in_flight = undelivered

    def _is_reachable(self, order: InFlightOrder) -> bool:
        return self.fleet.by_id[order.outgoing.instance_id].is_announcing

    def _report_result(
        self, order: InFlightOrder, order_state: placement.OrderState
    ) -> None:
        instance_id = order.outgoing.instance_id
        order_id = order.outgoing.order.order_id
        order.sender.planner.record_result(
            placement.OrderResult(instance_id, order_id, order_state),
            self.fleet.now_ms,
        )
