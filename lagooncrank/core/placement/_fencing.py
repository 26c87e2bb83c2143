"""Decides when an instance may receive orders for a new assignment.

An engine that checks fencing numbers refuses delayed orders of earlier
assignments by itself. An engine that ignores them receives its first new order
only when no earlier one can take effect any more. This covers the orders of
this leader and those that an earlier leader may have sent until its lease
expired. Such an engine must also announce that it holds no model before
it loads one for another replica.
"""

import dataclasses

from lagooncrank import model
from lagooncrank.core.placement import _instances
from lagooncrank.core.placement import _order_tracker
from lagooncrank.core.placement import _types


@dataclasses.dataclass(frozen=True, slots=True)
class FencingRules:
    """Upper bounds of durations that fencing relies on."""

    #: Longest time for which a deposed leader still considers itself leader.
    leader_lease_ms: int
    #: Longest time from sending an order to its effect.
    max_order_ms: int


class Fence:
    """Protects instances from delayed orders of earlier assignments.

    Args:
        rules: Upper bounds of the durations.
        tracker: Orders that this leader has sent.
        leader_since_ms: Start of this node's leadership, in monotonic time.
        has_earlier_orders: Whether an earlier leader may have sent orders.
    """

    def __init__(
        self,
        rules: FencingRules,
        tracker: _order_tracker.OrderTracker,
        leader_since_ms: int,
        has_earlier_orders: bool,
    ) -> None:
        self._tracker = tracker
        self._earlier_orders_until_ms = 0
        if has_earlier_orders:
            self._earlier_orders_until_ms = (
                leader_since_ms + rules.leader_lease_ms + rules.max_order_ms
            )

    def may_load(
        self, instance: _instances.Instance, replica: model.Replica, now_ms: int
    ) -> bool:
        """Returns whether a load order of `replica` may be sent."""
        if instance.announcement.checks_fencing:
            return True
        loaded = instance.announcement.loaded
        if loaded is not None and loaded.replica_id != replica.replica_id:
            return False
        kind = _types.OrderKind.LOAD
        return self._is_quiescent(
            instance, kind, replica.fencing_number, now_ms
        )

    def may_unload(
        self, instance: _instances.Instance, fencing_number: int, now_ms: int
    ) -> bool:
        """Returns whether an unload order may be sent."""
        if instance.announcement.checks_fencing:
            return True
        kind = _types.OrderKind.UNLOAD
        return self._is_quiescent(instance, kind, fencing_number, now_ms)

    def must_unload(
        self, instance: _instances.Instance, replica: model.Replica
    ) -> bool:
        """Returns whether an instance must unload before it joins `replica`."""
        loaded = instance.announcement.loaded
        if instance.announcement.checks_fencing or loaded is None:
            return False
        return loaded.replica_id != replica.replica_id

    def _is_quiescent(
        self,
        instance: _instances.Instance,
        kind: _types.OrderKind,
        fencing_number: int,
        now_ms: int,
    ) -> bool:
        own_ms = self._tracker.quiescent_from_ms(
            instance.instance_id, kind, fencing_number
        )
        quiescent_ms = max(own_ms, self._earlier_orders_until_ms)
        return quiescent_ms <= min(now_ms, instance.member.last_seen_ms)
