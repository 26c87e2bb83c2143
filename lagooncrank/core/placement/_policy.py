"""Interface of placement policies, and the registry that holds them."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Protocol

from lagooncrank import registry
from lagooncrank.core.placement import _changes
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _orders


class Policy(Protocol):
    """Chooses changes of replicas and the order of loads.

    What a policy may not choose, such as fencing and the rule of one replica
    for each instance, is held outside it.
    """

    def plan(self, fleet: _fleet.Fleet, changes: _changes.Changes) -> None:
        """Adds the changes that the policy wants to `changes`."""

    def grant(
        self, fleet: _fleet.Fleet, loads: Iterable[_orders.Load]
    ) -> Sequence[_orders.Load]:
        """Returns the loads that may run now."""


#: Policies by the name that settings give.
POLICIES: registry.Registry[Callable[[], Policy]] = registry.Registry(
    "placement policy"
)
