"""Passes reports of backend servers on between nodes.

Servers report to any control node. Control nodes pass the changes on to each
other and to the entries that follow them.
"""

from collections.abc import Callable
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import model
from lagooncrank import settings
from lagooncrank.core import fleet
from lagooncrank.server import _shared_state
from lagooncrank.server import links as peer_links
from lagooncrank.server.seeded import _control_nodes
from lagooncrank.server.seeded import _decision_log

_REPORTS: Final = "server-reports"
_WANTED: Final = "reports-wanted"


class ReportExchange:
    """Keeps the table of servers up to date, here and at other nodes."""

    def __init__(
        self,
        role: settings.Role,
        table: fleet.ServerTable,
        links: peer_links.Links,
        shared: _shared_state.ReplicatedState,
        control_nodes: _control_nodes.ControlNodes,
        clock: clocks.Clock,
        log: _decision_log.DecisionLog,
    ) -> None:
        self._is_control = role is settings.Role.CONTROL
        self._table = table
        self._links = links
        self._shared = shared
        self._control_nodes = control_nodes
        self._clock = clock
        self._log = log
        self._synced_followers: frozenset[model.NodeId] = frozenset()
        #: Called after backend servers may have changed.
        self.listeners: list[Callable[[], None]] = []
        links.on_message(_REPORTS, fleet.ReportBatch, self._on_reports)
        links.on_message(_WANTED, fleet.ReportsWanted, self._on_wanted)
        links.on_connected(self._on_connected)

    def record(self, report: model.ServerReport) -> None:
        """Records a report that a backend server sent to this node."""
        before = self._table.superseded(report.server_id)
        if self._table.put(report, self._clock.now_ms()):
            self._log_report(report)
            self._publish_changes()
        superseded = self._table.superseded(report.server_id)
        if superseded != before:
            self._log.write(
                decisions.Event.SERVER_HIDDEN,
                server=report.server_id,
                born_ms=report.born_ms,
                sequence=report.sequence,
                superseded=superseded,
            )

    def deregister(
        self, server_id: model.BackendServerId, born_ms: int | None
    ) -> None:
        """Removes a backend server that announced its stop."""
        if self._table.deregister(server_id, born_ms, self._clock.now_ms()):
            self._log.write(
                decisions.Event.SERVER, server=server_id, state="gone"
            )
            self._publish_changes()

    def forward_updates(self, now_ms: int) -> None:
        """Passes on what has changed since the last call."""
        updates = self._table.pop_updates(now_ms)
        if not self._is_control:
            return
        followers = self._shared.followers
        new_followers = followers - self._synced_followers
        self._synced_followers = followers
        if new_followers:
            snapshot = self._table.snapshot(now_ms)
            self._links.send_all(new_followers, _REPORTS, snapshot)
        if updates is not None:
            others = followers - new_followers
            others = others.union(self._control_nodes.others())
            self._links.send_all(others, _REPORTS, updates)

    def _publish_changes(self) -> None:
        self.forward_updates(self._clock.now_ms())
        for listener in self.listeners:
            listener()

    def _on_connected(self, peer: model.NodeId) -> None:
        # The follower may have missed updates that were sent before.
        self._synced_followers -= {peer}
        if self._is_control and peer in self._control_nodes:
            snapshot = self._table.snapshot(self._clock.now_ms())
            self._links.send(peer, _REPORTS, snapshot)

    def _on_reports(
        self, sender: model.NodeId, batch: fleet.ReportBatch
    ) -> None:
        self._table.merge(batch, self._clock.now_ms())
        wanted = self._table.pop_wanted()
        if wanted is not None:
            self._links.send(sender, _WANTED, wanted)
        if batch.reports:
            self._publish_changes()

    def _on_wanted(
        self, sender: model.NodeId, wanted: fleet.ReportsWanted
    ) -> None:
        batch = self._table.reports_for(wanted, self._clock.now_ms())
        if batch.reports:
            self._links.send(sender, _REPORTS, batch)

    def _log_report(self, report: model.ServerReport) -> None:
        self._log.write(
            decisions.Event.SERVER,
            server=report.server_id,
            service=report.service,
            state=report.state.value,
            membership=report.membership,
            staged=report.staged,
            loaded=report.loaded,
            sequence=report.sequence,
        )
