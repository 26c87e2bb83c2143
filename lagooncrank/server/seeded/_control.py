"""Control node: takes part in consensus, tracks the fleet, forms groups."""

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import settings
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _control_metrics
from lagooncrank.server.seeded import _group_driver
from lagooncrank.server.seeded import _node
from lagooncrank.server.seeded import _retained_state


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
        assert self.side_file is not None, "a control node must have a disk"
        self._retained = _retained_state.RetainedState(
            self.side_file,
            self.view,
            self.crash_evidence,
            clock,
            self.decision_log,
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
        """Starts the common components and the group driver."""
        await super().on_start()
        await self.add_runtime_dependency(self._retained)
        await self.add_runtime_dependency(self._driver)

    async def record_report(self, report: model.ServerReport) -> bool:
        """Records a report that a backend server sent to this node.

        Returns:
            Whether it may be acknowledged: that a process leaves must outlast
            a restart of all nodes.
        """
        self.view.record_report(report)
        if report.state is model.ServerState.READY:
            return True
        return await self._retained.save()

    async def deregister(
        self, server_id: model.BackendServerId, born_ms: int | None
    ) -> bool:
        """Removes a backend server that announced its stop.

        Returns:
            Whether it may be acknowledged, as for a report.
        """
        if born_ms is None and self.view.table.get(server_id) is None:
            # Which process it is may be known to another node, or here soon.
            return False
        self.view.deregister(server_id, born_ms)
        return await self._retained.save()

    @property
    def has_quorum(self) -> bool:
        """Whether a quorum responded recently.

        Without one, reports that this node accepted would not reach others.
        """
        return self.shared.has_quorum
