"""Whether reports of backend servers can reach this node."""

from typing import Final

from lagooncrank import decisions
from lagooncrank import settings
from lagooncrank.core import dispatch
from lagooncrank.core import fleet
from lagooncrank.server import _shared_state
from lagooncrank.server import links as peer_links
from lagooncrank.server.seeded import _decision_log

#: Names of dependencies in the log.
_CONTROL_NODES: Final = "control nodes"
_QUORUM: Final = "quorum"


class Connectivity:
    """Counts the time for which this node receives server reports.

    Control nodes without a quorum refuse reports, so missing reports do not
    make a server unreachable during that time, here or on an entry that follows
    such a node.
    """

    def __init__(
        self,
        role: settings.Role,
        table: fleet.ServerTable,
        loads: dispatch.InFlightTracker,
        links: peer_links.Links,
        shared: _shared_state.ReplicatedState,
        log: _decision_log.DecisionLog,
    ) -> None:
        self._role = role
        self._table = table
        self._loads = loads
        self._links = links
        self._shared = shared
        self._log = log
        self._missing = ""

    def update(self, now_ms: int, observed_ms: int) -> None:
        """Adds the time since the last call, unless a dependency is missing.

        Args:
            now_ms: Monotonic time in milliseconds.
            observed_ms: Time in which this node could read reports.
        """
        missing = self._missing_dependency()
        if missing != self._missing:
            self._log_dependency(decisions.Event.REGAINED, self._missing)
            self._log_dependency(decisions.Event.LOST, missing)
        self._missing = missing
        if missing == _CONTROL_NODES:
            # The last totals of the other entries are outdated.
            self._loads.set_fleet_totals({})
        self._table.advance_clock(now_ms, observed_ms, is_connected=not missing)

    def _missing_dependency(self) -> str:
        """Returns what this node lacks to receive reports; empty if nothing."""
        follows = self._role is settings.Role.ENTRY
        if follows and self._shared.upstream not in self._links.connected():
            return _CONTROL_NODES
        return "" if self._shared.has_quorum else _QUORUM

    def _log_dependency(self, event: decisions.Event, dependency: str) -> None:
        if dependency:
            self._log.write(event, dependency=dependency)
