"""Control node: takes part in consensus, tracks the fleet, forms groups."""

from lagooncrank import clock as clocks
from lagooncrank import settings
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _control_metrics
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
        await self.add_runtime_dependency(self._driver)

    @property
    def has_quorum(self) -> bool:
        """Whether a quorum responded recently.

        Without one, reports that this node accepted would not reach others.
        """
        return self.shared.has_quorum
