"""One leader's placement: from what it knows to changes and orders."""

from lagooncrank.core.placement import _changes
from lagooncrank.core.placement import _fencing
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _instances
from lagooncrank.core.placement import _life_cycle
from lagooncrank.core.placement import _moves
from lagooncrank.core.placement import _order_book
from lagooncrank.core.placement import _orders
from lagooncrank.core.placement import _policy
from lagooncrank.core.placement import _types

#: An instance silent for this long is forgotten unless a replica holds it.
FORGET_MS = 86_400_000


class Planner:
    """Plans for as long as one node leads without a break.

    The caller commits the commands of a decision through the replicated log
    and sends its orders at once, while its leader lease holds. It starts a
    new planner whenever the lease was interrupted.

    Args:
        policy: Chooses changes and the order of loads.
        rules: Durations that fencing relies on.
        leader_since_ms: When this node's leadership began.
        last_fencing_number: Highest number in the state at that time.
    """

    def __init__(
        self,
        policy: _policy.Policy,
        rules: _fencing.FencingRules,
        leader_since_ms: int,
        last_fencing_number: int,
    ) -> None:
        self._policy = policy
        self._leader_since_ms = leader_since_ms
        self._table = _instances.InstanceTable()
        self._moves = _moves.Moves()
        self._book = _order_book.OrderBook(rules.max_order_ms)
        self._fence = _fencing.Fence(
            rules,
            self._book,
            leader_since_ms,
            orders_before=last_fencing_number > 0,
        )

    def step(
        self, snapshot: _types.ClusterSnapshot, now_ms: int
    ) -> _types.Decision:
        """Decides what to change and which orders to send now.

        Args:
            snapshot: State with everything applied that was committed.
            now_ms: Monotonic time of the leader, in milliseconds.
        """
        rules = snapshot.declarations.placement
        self._table.observe(snapshot.members, rules.hold_down_ms, now_ms)
        self._table.forget(FORGET_MS, now_ms)
        self._book.max_order_ms = max(
            self._book.max_order_ms, rules.max_order_ms
        )
        self._book.expire(now_ms)
        fleet = _fleet.Fleet(
            snapshot, self._table, self._leader_since_ms, now_ms
        )
        changes = _changes.Changes(snapshot.last_fencing_number)
        self._policy.plan(fleet, changes)
        refusals = self._moves.plan(fleet, changes)
        _life_cycle.advance(fleet, self._fence, changes)
        return _types.Decision(
            changes.commands, self._orders(fleet, changes, now_ms), refusals
        )

    def record_result(self, answer: _types.OrderResult, now_ms: int) -> None:
        """Takes how one sending of an order ended."""
        self._book.note_answer(answer, now_ms)

    def _orders(
        self, fleet: _fleet.Fleet, changes: _changes.Changes, now_ms: int
    ) -> tuple[_types.OutgoingOrder, ...]:
        orders = _orders.Orders(fleet, self._fence, self._book)
        granted = self._policy.grant(fleet, orders.loads())
        claimed = changes.claimed_instances()
        sends = tuple(
            send
            for source in (
                orders.load_orders(granted),
                orders.unload_orders(),
            )
            for send in source
            if send.instance_id not in claimed
        )
        for send in sends:
            self._book.note_sent(send, now_ms)
        return sends
