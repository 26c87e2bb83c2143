"""Handlers of the health check and of the metrics."""

from collections.abc import Sequence

from aiohttp import web

from lagooncrank.server import _interfaces
from lagooncrank.server import _lifecycle
from lagooncrank.server import _metrics

EXPOSITION_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class HealthHandlers:
    """Handles `/healthz` and `/metrics`."""

    def __init__(
        self,
        lifecycle: _lifecycle.Lifecycle,
        shared: _interfaces.SharedState,
        metrics: _metrics.Metrics,
    ) -> None:
        self._lifecycle = lifecycle
        self._shared = shared
        self._metrics = metrics

    def routes(self) -> Sequence[web.AbstractRouteDef]:
        """Returns the routes to mount."""
        return [
            web.get("/healthz", self._healthz),
            web.get("/metrics", self._metrics_exposition),
        ]

    async def _healthz(self, request: web.Request) -> web.StreamResponse:
        state = self._state()
        status = 200 if state == _lifecycle.Phase.SERVING else 503
        return web.json_response({"state": state}, status=status)

    async def _metrics_exposition(
        self, request: web.Request
    ) -> web.StreamResponse:
        body = self._metrics.exposition()
        return web.Response(
            body=body, headers={"Content-Type": EXPOSITION_TYPE}
        )

    def _state(self) -> str:
        phase = self._lifecycle.phase
        if phase is not _lifecycle.Phase.SERVING:
            return phase
        if not self._shared.lease_holds():
            return "no_quorum"
        if self._shared.view.configuration is None:
            return "no_configuration"
        return phase
