"""Policy that weighs group downtime against stranded accelerators."""

from collections.abc import Iterable
from collections.abc import Sequence

from lagooncrank.core.placement import _changes
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _formation
from lagooncrank.core.placement import _load_order
from lagooncrank.core.placement import _needs
from lagooncrank.core.placement import _orders
from lagooncrank.core.placement import _policy
from lagooncrank.core.placement import _pool
from lagooncrank.core.placement import _repair
from lagooncrank.core.placement import _returns


@_policy.POLICIES.register("weighted")
class Weighted:
    """Waits for paused members, repairs with spares, loads in order."""

    def __init__(self) -> None:
        self._returns = _returns.Returns()

    def plan(self, fleet: _fleet.Fleet, changes: _changes.Changes) -> None:
        """Repairs replicas, then forms new ones from what is left."""
        needs = _needs.Needs(fleet)
        pool = _pool.Pool(fleet)
        self._returns.run(fleet, pool, changes)
        _repair.Repair(fleet, needs, pool, changes, self._returns).run()
        _formation.Formation(fleet, needs, pool, changes).run()

    def grant(
        self, fleet: _fleet.Fleet, loads: Iterable[_orders.Load]
    ) -> Sequence[_orders.Load]:
        """Returns the loads that may run now."""
        return _load_order.grant(fleet, loads)
