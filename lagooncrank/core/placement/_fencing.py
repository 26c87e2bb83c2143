"""Decides when an instance may take a load order of its new replica.

An engine that checks fencing numbers refuses late orders by itself. At one
that ignores them, every older order must be over before the first new one:
those of this leader, and those that an earlier leader sent up to the end of
its lease. The engine must then announce that it holds nothing, unless it
stays in the replica that it is in.
"""

import dataclasses

from lagooncrank import model
from lagooncrank.core.placement import _instances
from lagooncrank.core.placement import _order_book
from lagooncrank.core.placement import _types


@dataclasses.dataclass(frozen=True, slots=True)
class FencingRules:
    """Durations that fencing relies on."""

    #: Longest time that a deposed leader believes itself leader.
    leader_lease_ms: int
    #: Longest time from sending an order to its effect.
    max_order_ms: int


class Fence:
    """Guards instances against orders of earlier assignments.

    Args:
        rules: Durations in force.
        orders: Orders that this leader sent.
        leader_since_ms: When this node's leadership began.
        orders_before: Whether any earlier leader may have sent orders.
    """

    def __init__(
        self,
        rules: FencingRules,
        orders: _order_book.OrderBook,
        leader_since_ms: int,
        orders_before: bool,
    ) -> None:
        self._orders = orders
        self._inherited_until_ms = 0
        if orders_before:
            self._inherited_until_ms = (
                leader_since_ms + rules.leader_lease_ms + rules.max_order_ms
            )

    def may_load(
        self, instance: _instances.Instance, replica: model.Replica, now_ms: int
    ) -> bool:
        """Returns whether an instance may take a load order of `replica`."""
        if instance.announcement.checks_fencing:
            return True
        loaded = instance.announcement.loaded
        if loaded is not None and loaded.replica_id != replica.replica_id:
            return False
        kind = _types.OrderKind.LOAD
        return self._is_quiet(instance, kind, replica.fencing_number, now_ms)

    def may_unload(
        self, instance: _instances.Instance, fencing_number: int, now_ms: int
    ) -> bool:
        """Returns whether an instance may take an unload order."""
        if instance.announcement.checks_fencing:
            return True
        kind = _types.OrderKind.UNLOAD
        return self._is_quiet(instance, kind, fencing_number, now_ms)

    def must_unload(
        self, instance: _instances.Instance, replica: model.Replica
    ) -> bool:
        """Returns whether an instance must unload before it joins `replica`."""
        loaded = instance.announcement.loaded
        if instance.announcement.checks_fencing or loaded is None:
            return False
        return loaded.replica_id != replica.replica_id

    def _is_quiet(
        self,
        instance: _instances.Instance,
        kind: _types.OrderKind,
        fencing_number: int,
        now_ms: int,
    ) -> bool:
        own_ms = self._orders.quiet_from_ms(
            instance.instance_id, kind, fencing_number
        )
        quiet_ms = max(own_ms, self._inherited_until_ms)
        return quiet_ms <= min(now_ms, instance.member.last_seen_ms)
