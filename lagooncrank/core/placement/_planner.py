"""Plans replica changes and engine orders for one leadership."""

from lagooncrank.core.placement import _changes
from lagooncrank.core.placement import _fencing
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _instances
from lagooncrank.core.placement import _lifecycle
from lagooncrank.core.placement import _order_tracker
from lagooncrank.core.placement import _orders
from lagooncrank.core.placement import _planned_changes
from lagooncrank.core.placement import _policy
from lagooncrank.core.placement import _types

#: An instance is dropped this long after its lease expired: one day.
INSTANCE_RETENTION_MS = 86_400_000


class Planner:
    """Plans placement during one uninterrupted leadership.

    The caller commits the commands of a decision through the replicated log
    and sends its orders immediately, while its leader lease is valid. It
    creates a new planner whenever the lease was interrupted.

    Args:
        policy: Chooses changes and the order of loads.
        rules: Upper bounds of durations that fencing relies on.
        leader_since_ms: Start of this node's leadership, in monotonic time.
        last_fencing_number: Highest number in the replicated state at that
            time.
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
        self._planned_changes = _planned_changes.PlannedChanges()
        self._tracker = _order_tracker.OrderTracker(rules.max_order_ms)
        self._fence = _fencing.Fence(
            rules,
            self._tracker,
            leader_since_ms,
            has_earlier_orders=last_fencing_number > 0,
        )

    def step(
        self, snapshot: _types.ClusterSnapshot, now_ms: int
    ) -> _types.Decision:
        """Decides what to change and which orders to send now.

        Args:
            snapshot: Cluster state with every committed change applied.
            now_ms: Monotonic time of the leader.
        """
        rules = snapshot.declarations.placement
        self._table.observe(snapshot.members, rules.hold_down_ms, now_ms)
        self._table.evict_expired(INSTANCE_RETENTION_MS, now_ms)
        self._tracker.max_order_ms = max(
            self._tracker.max_order_ms, rules.max_order_ms
        )
        self._tracker.expire(now_ms)
        fleet = _fleet.Fleet(
            snapshot, self._table, self._leader_since_ms, now_ms
        )
        changes = _changes.Changes(snapshot.last_fencing_number)
        self._policy.plan(fleet, changes)
        refusals = self._planned_changes.plan(fleet, changes)
        _lifecycle.advance(fleet, self._fence, changes)
        return _types.Decision(
            changes.commands, self._orders(fleet, changes, now_ms), refusals
        )

    def record_result(self, result: _types.OrderResult, now_ms: int) -> None:
        """Records the outcome of sending an order once."""
        self._tracker.record_result(result, now_ms)

    def _orders(
        self, fleet: _fleet.Fleet, changes: _changes.Changes, now_ms: int
    ) -> tuple[_types.OutgoingOrder, ...]:
        orders = _orders.Orders(fleet, self._fence, self._tracker)
        selected = self._policy.select_loads(fleet, orders.loads())
        claimed = changes.claimed_instances()
        outgoing = tuple(
            order
            for source in (
                orders.load_orders(selected),
                orders.unload_orders(),
            )
            for order in source
            if order.instance_id not in claimed
        )
        for order in outgoing:
            self._tracker.record_sent(order, now_ms)
        return outgoing
