"""Control node: takes part in consensus, tracks the fleet, forms groups."""

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import settings
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _control_metrics
from lagooncrank.server.seeded import _disk_watch
from lagooncrank.server.seeded import _group_driver
from lagooncrank.server.seeded import _node


class ControlNode(_node.Node):
    """One control node.

    The adapter provides the HTTP servers for operators and backend servers.
    """

    def __init__(
        self,
        node_settings: settings.SeededSettings,
        document_codec: _adapter.DocumentCodec,
        engines: _adapter.EngineClient,
        clock: clocks.Clock,
        started_ms: int | None = None,
    ) -> None:
        super().__init__(node_settings, document_codec, clock, started_ms)
        self.metrics = _control_metrics.ControlMetrics()
        self.server_limits.count_permits = self.metrics.permits.count
        self._disk_watch = _disk_watch.DiskWatch(
            self.shared, node_settings.data_folder
        )
        self._driver = _group_driver.GroupDriver(
            node_settings,
            self.shared,
            self.view,
            self.documents,
            engines,
            clock,
            self.decision_log,
            self.metrics,
        )

    async def on_start(self) -> None:
        """Starts the common components and those of a control node."""
        await super().on_start()
        await self.add_runtime_dependency(self._driver)
        await self.add_runtime_dependency(self._disk_watch)

    @property
    def has_quorum(self) -> bool:
        """Whether a quorum responded recently.

        Without one, reports that this node accepted would not reach others.
        """
        return self.shared.has_quorum

    def record_report(self, report: model.ServerReport) -> bool:
        """Records a report, unless it cannot be of the server that it names.

        Returns:
            Whether the report counts.
        """
        known = self.view.table.get(report.server_id)
        if known is not None and self._contradicts(report, known.report):
            return False
        self.view.record_report(report)
        return True

    def _contradicts(
        self, report: model.ServerReport, known: model.ServerReport
    ) -> bool:
        """Returns whether a report is of another writer than its server.

        An engine does not turn into a plain server of its service, nor does a
        server of a declared service turn into one of a service that nobody
        declared.
        """
        if report.service == known.service:
            return bool(known.fabric_domain) and not report.fabric_domain
        catalog = self.documents.catalog
        if catalog is None or report.service in catalog.services:
            return False
        return known.service in catalog.services
