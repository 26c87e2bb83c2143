"""Policy that weighs replica downtime against stranded accelerators."""

from collections.abc import Iterable
from collections.abc import Sequence

from lagooncrank.core.placement import _changes
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _formation
from lagooncrank.core.placement import _load_scheduling
from lagooncrank.core.placement import _orders
from lagooncrank.core.placement import _policy
from lagooncrank.core.placement import _pool
from lagooncrank.core.placement import _priority
from lagooncrank.core.placement import _repair
from lagooncrank.core.placement import _returning_members


@_policy.POLICIES.register("weighted")
class Weighted:
    """Repairs replicas from spares after a grace period and schedules loads.

    A member that does not respond is replaced only after the grace period,
    since it may merely be paused.
    """

    def __init__(self) -> None:
        self._returning_members = _returning_members.ReturningMembers()

    def plan(self, fleet: _fleet.Fleet, changes: _changes.Changes) -> None:
        """Repairs replicas, then forms new ones from the other instances."""
        counts = _priority.ReplicaCounts(fleet)
        pool = _pool.Pool(fleet)
        self._returning_members.reinstate(fleet, pool, changes)
        _repair.Repair(
            fleet, counts, pool, changes, self._returning_members
        ).run()
        _formation.Formation(fleet, counts, pool, changes).run()

    def select_loads(
        self, fleet: _fleet.Fleet, loads: Iterable[_orders.MemberLoad]
    ) -> Sequence[_orders.MemberLoad]:
        """Returns the loads that may run now."""
        return _load_scheduling.select_loads(fleet, loads)
