"""A seeded control node: votes, knows the fleet, forms groups."""

from lagooncrank import clock as clocks
from lagooncrank import settings
from lagooncrank.server.seeded import _control_metrics
from lagooncrank.server.seeded import _group_driver
from lagooncrank.server.seeded import _node
from lagooncrank.server.seeded import _wire


class ControlNode(_node.Node):
    """One control node, without the server for its callers."""

    def __init__(
        self,
        own: settings.SeededSettings,
        documents: _wire.DocumentCodec,
        engines: _wire.EngineClient,
        clock: clocks.Clock,
        started_ms: int | None = None,
    ) -> None:
        super().__init__(own, documents, clock, started_ms)
        self.metrics = _control_metrics.ControlMetrics()
        self._driver = _group_driver.GroupDriver(
            own,
            self.shared,
            self.view,
            self.documents,
            engines,
            clock,
            self.decisions,
            self.metrics,
        )

    async def on_start(self) -> None:
        """Starts the parts and the driver of groups."""
        await super().on_start()
        await self.add_runtime_dependency(self._driver)

    @property
    def has_quorum(self) -> bool:
        """Whether a quorum answered lately, so that what is told spreads."""
        return self.shared.has_quorum
