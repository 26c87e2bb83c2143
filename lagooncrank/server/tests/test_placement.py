import prometheus_client

from lagooncrank import clock
from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import membership
from lagooncrank.core import placement
from lagooncrank.core import routing
from lagooncrank.core import state
from lagooncrank.server import _interfaces
from lagooncrank.server import _orders
from lagooncrank.server import _placement
from standins import fleet as fleets

SERVICE = model.ModelService(
    name=model.ServiceName("drafts"),
    version="v1",
    replicas=2,
    replicas_floor=1,
    instances_per_replica=2,
    weight_bytes_per_instance=1_000,
)
STORE = fleets.WeightStoreLimits(
    bytes_per_s=4_000, bytes_per_s_per_engine=4_000
)


class FakeSharedState:
    """Implements `SharedState` with a local state machine."""

    leader = model.NodeId("n1")
    term = 1

    def __init__(self) -> None:
        self.view = state.StateMachine()
        self.is_leader = True
        self.listeners: list[_interfaces.AppliedListener] = []

    def lease_holds(self) -> bool:
        return True

    async def propose(
        self, command: state.Command, timeout_ms: int
    ) -> state.Outcome:
        if not self.is_leader:
            return state.Outcome(results.ResultCode.NOT_LEADER)
        outcome = self.view.apply(self.view.applied_index + 1, command)
        for listener in self.listeners:
            listener(command, outcome)
        return outcome

    async def confirm_read(self, timeout_ms: int) -> bool:
        return True

    def on_applied(self, listener: _interfaces.AppliedListener) -> None:
        self.listeners.append(listener)


class FleetSender:
    """Delivers orders to a simulated fleet at once."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.sent: list[placement.OutgoingOrder] = []

    async def send(
        self,
        outgoing: placement.OutgoingOrder,
        may_write: _orders.WritePermission,
    ) -> placement.OrderResult:
        self.sent.append(outgoing)
        order_id = outgoing.order.order_id
        order_state = self.fleet.deliver(outgoing)
        return placement.OrderResult(
            outgoing.instance_id, order_id, order_state
        )


class FleetMembers(membership.MembershipTable):
    """Lists the engines of a simulated fleet as members."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        super().__init__(model.NodeId("n1"), 1, model.LeaseRules())
        self._fleet = fleet

    def live_members(self, now_ms: int) -> tuple[membership.Member, ...]:
        return tuple(self._fleet.members())


class DriverHarness:
    """A placement driver and four simulated engines."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        self.shared = FakeSharedState()
        self.fleet = fleets.Fleet((4,), STORE)
        self.sender = FleetSender(self.fleet)
        self.driver = _placement.PlacementDriver(
            self.shared,
            FleetMembers(self.fleet),
            self.sender,
            self.clock,
            "first_fit",
        )

    async def declare(self) -> None:
        declarations = model.Declarations(model_services=(SERVICE,))
        command = state.ApplyDeclarations("c1", 0, declarations, "op", 0)
        await self.shared.propose(command, 1_000)

    async def run(self, steps: int) -> None:
        for _ in range(steps):
            await self.driver.step()
            await self.driver.wait_for_sends()
            self.clock.advance(500)
            self.fleet.advance(500)

    def serving(self) -> list[model.ReplicaId]:
        members = routing.index_members(self.fleet.members())
        return [
            r.replica_id
            for r in self.shared.view.replicas.values()
            if routing.has_all_members_ready(r, members, self.clock.now_ms())
        ]


async def test_driver_forms_the_declared_replicas() -> None:
    harness = DriverHarness()
    await harness.declare()
    await harness.run(8)
    assert len(harness.serving()) == 2


async def test_driver_without_leadership_does_nothing() -> None:
    harness = DriverHarness()
    await harness.declare()
    harness.shared.is_leader = False
    await harness.run(4)
    assert harness.sender.sent == []
    assert harness.shared.view.replicas == {}


async def test_orders_are_sent_only_after_their_assignment_is_committed() -> (
    None
):
    harness = DriverHarness()
    await harness.declare()
    await harness.run(1)
    assert len(harness.shared.view.replicas) == 2
    assert harness.sender.sent == []
    await harness.run(2)
    committed = harness.shared.view.replicas
    numbers = {r.fencing_number for r in committed.values()}
    assert {s.order.fencing_number for s in harness.sender.sent} == numbers


def accepted_load_count() -> float:
    labels = {"kind": "load", "answer": "accepted"}
    value = prometheus_client.REGISTRY.get_sample_value(
        "lagooncrank_orders_total", labels
    )
    return value or 0.0


async def test_orders_are_counted_by_kind_and_answer() -> None:
    earlier_count = accepted_load_count()
    harness = DriverHarness()
    await harness.declare()
    await harness.run(3)
    assert (
        accepted_load_count() - earlier_count == len(harness.sender.sent) == 4
    )


async def test_orders_of_a_deposed_leader_are_not_sent() -> None:
    harness = DriverHarness()
    await harness.declare()
    await harness.run(1)
    await harness.driver.step()
    await harness.driver.step()
    harness.shared.is_leader = False
    await harness.driver.wait_for_sends()
    assert harness.sender.sent == []


async def test_new_leadership_resumes_loads_without_new_orders() -> None:
    harness = DriverHarness()
    await harness.declare()
    await harness.run(3)
    sent = len(harness.sender.sent)
    await harness.shared.propose(state.NoOp(), 1_000)
    await harness.run(6)
    assert len(harness.sender.sent) == sent == 4
    assert len(harness.serving()) == 2
