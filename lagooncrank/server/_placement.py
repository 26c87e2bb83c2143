"""Runs the placement planner while this node is the leader."""

import asyncio
import dataclasses
from typing import Final

import logbook
import mode

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import consensus
from lagooncrank.core import membership
from lagooncrank.core import placement
from lagooncrank.core import state
from lagooncrank.server import _interfaces
from lagooncrank.server import _orders
from lagooncrank.server import _placement_metrics

STEP_INTERVAL_S: Final = 0.5
#: Maximum number of consecutive steps, as long as each changes the state.
MAX_STEPS_AT_ONCE: Final = 4
PROPOSAL_TIMEOUT_MS: Final = 3_000
READ_TIMEOUT_MS: Final = 2_000
#: Maximum time for which a deposed leader still considers itself leader.
LEADER_LEASE_MS: Final = consensus.Timing().lease_ms

_log = logbook.Logger("placement")


@dataclasses.dataclass(slots=True)
class _Leadership:
    planner: placement.Planner
    #: Leader changes in the applied log when the planner was created.
    leader_changes: int
    #: Reasons why planned changes wait, as last logged.
    refusals: tuple[results.Refusal, ...] = ()


class PlacementDriver(mode.Service):
    """Commits the commands of the planner and sends its orders.

    The driver acts only while this node is the leader and holds the leader
    lease. Each leadership starts with a new planner, because another leader
    may have made changes that the previous planner does not know.

    Args:
        shared: The replicated state.
        members: Backend servers that this entry knows.
        sender: Sends orders to engines.
        clock: Clock of the process.
        policy: Name of the placement policy.
    """

    def __init__(
        self,
        shared: _interfaces.SharedState,
        members: membership.Membership,
        sender: _orders.OrderSender,
        clock: clocks.Clock,
        policy: str,
    ) -> None:
        super().__init__()
        self._shared = shared
        self._members = members
        self._sender = sender
        self._clock = clock
        self._policy = policy
        self._leadership: _Leadership | None = None
        self._leader_changes = 0
        self._sending: set[asyncio.Task[None]] = set()
        shared.on_applied(self._count_leader_change)

    async def on_stop(self) -> None:
        """Cancels the orders that are being sent."""
        for task in tuple(self._sending):
            task.cancel()

    @mode.Service.timer(STEP_INTERVAL_S)
    async def _step_periodically(self) -> None:
        for _ in range(MAX_STEPS_AT_ONCE):
            if not await self.step():
                return

    async def step(self) -> bool:
        """Makes one decision and applies it, if this node is the leader.

        Returns:
            Whether the state changed; another step may then find more to do.
        """
        configuration = self._shared.view.configuration
        if configuration is None:
            return False
        rules = configuration.declarations.placement
        leadership = await self._current_leadership(rules)
        if leadership is None:
            return False
        now_ms = self._clock.now_ms()
        snapshot = placement.ClusterSnapshot(
            declarations=configuration.declarations,
            replicas=self._shared.view.replicas,
            last_fencing_number=self._shared.view.last_fencing_number,
            members=self._members.live_members(now_ms),
            drained=frozenset(self._shared.view.drains),
        )
        decision = leadership.planner.step(snapshot, now_ms)
        self._report_refusals(leadership, decision.refusals)
        for outgoing in decision.orders:
            self._start_send(leadership, outgoing)
        for command in decision.commands:
            if not await self._commit(command):
                return False
        return bool(decision.commands)

    async def wait_for_sends(self) -> None:
        """Waits until every order being sent has a result."""
        await asyncio.gather(*self._sending)

    async def _current_leadership(
        self, rules: model.PlacementRules
    ) -> _Leadership | None:
        if not self._shared.is_leader:
            self._leadership = None
            return None
        if self._leadership is not None and self._is_current(self._leadership):
            return self._leadership
        self._leadership = None
        if not await self._shared.confirm_read(READ_TIMEOUT_MS):
            return None
        if self._shared.is_leader:
            self._leadership = self._new_leadership(rules)
        return self._leadership

    def _new_leadership(self, rules: model.PlacementRules) -> _Leadership:
        planner = placement.Planner(
            policy=placement.POLICIES.get(self._policy)(),
            rules=placement.FencingRules(LEADER_LEASE_MS, rules.max_order_ms),
            leader_since_ms=self._clock.now_ms(),
            last_fencing_number=self._shared.view.last_fencing_number,
        )
        _log.info("placement started")
        return _Leadership(planner, self._leader_changes)

    def _is_current(self, leadership: _Leadership) -> bool:
        return leadership.leader_changes == self._leader_changes

    def _count_leader_change(
        self, command: state.Command, outcome: state.Outcome
    ) -> None:
        if isinstance(command, state.NoOp):
            self._leader_changes += 1

    def _report_refusals(
        self, leadership: _Leadership, refusals: tuple[results.Refusal, ...]
    ) -> None:
        """Logs and counts new reasons why planned changes wait."""
        for refusal in refusals:
            if refusal not in leadership.refusals:
                _placement_metrics.MOVES_REFUSED.labels(refusal.code.name).inc()
                _log.warn("{}: {}", refusal.code.name, refusal.reason)
        leadership.refusals = refusals

    async def _commit(self, command: state.PutReplica) -> bool:
        outcome = await self._shared.propose(command, PROPOSAL_TIMEOUT_MS)
        replica = command.replica
        _placement_metrics.CHANGES.labels(
            replica.state.value, outcome.code.name
        ).inc()
        if not outcome.ok:
            _log.warn(
                "change of replica {} to {} refused: {} {}",
                replica.replica_id,
                replica.state,
                outcome.code.name,
                outcome.reason,
            )
            return False
        _log.info(
            "replica {} is {} with fencing number {} on {}",
            replica.replica_id,
            replica.state,
            replica.fencing_number,
            ", ".join(replica.instances),
        )
        return True

    def _start_send(
        self, leadership: _Leadership, outgoing: placement.OutgoingOrder
    ) -> None:
        task = asyncio.create_task(self._send(leadership, outgoing))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _send(
        self, leadership: _Leadership, outgoing: placement.OutgoingOrder
    ) -> None:
        def may_write() -> bool:
            return self._shared.is_leader and self._is_current(leadership)

        if not may_write():
            return
        result = await self._sender.send(outgoing, may_write)
        leadership.planner.record_result(result, self._clock.now_ms())
        _placement_metrics.ORDERS.labels(
            outgoing.order.kind.value, result.state.value
        ).inc()
        _log.info(
            "order {} to {}: {}",
            outgoing.order.order_id,
            outgoing.address,
            result.state,
        )
