"""Interface and registry of placement policies."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Protocol

from lagooncrank import registry
from lagooncrank.core.placement import _changes
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _orders


class Policy(Protocol):
    """Chooses which replicas to change and in which order weights are loaded.

    Safety rules, such as fencing and at most one replica for each instance,
    are enforced outside the policy.
    """

    def plan(self, fleet: _fleet.Fleet, changes: _changes.Changes) -> None:
        """Adds the policy's changes to `changes`."""

    def select_loads(
        self, fleet: _fleet.Fleet, loads: Iterable[_orders.MemberLoad]
    ) -> Sequence[_orders.MemberLoad]:
        """Returns the loads that may run now."""


#: Policies by their name in the settings.
POLICIES: registry.Registry[Callable[[], Policy]] = registry.Registry(
    "placement policy"
)
