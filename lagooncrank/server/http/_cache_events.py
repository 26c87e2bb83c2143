"""Handler of the cache events that model engines send."""

from collections.abc import Sequence

from aiohttp import web
import msgspec

from lagooncrank import results
from lagooncrank import settings
from lagooncrank.server import _cache_hints
from lagooncrank.server import _interfaces
from lagooncrank.server.http import _body

_decoder = msgspec.json.Decoder(_cache_hints.CacheEvents)


class CacheEventHandlers:
    """Handles `/v1/cache-events`."""

    def __init__(
        self,
        hints: _cache_hints.CacheHintUpdater,
        shared: _interfaces.SharedState,
        limits: settings.LimitSettings,
    ) -> None:
        self._hints = hints
        self._shared = shared
        self._limits = limits

    def routes(self) -> Sequence[web.AbstractRouteDef]:
        """Returns the routes to mount."""
        return [web.post("/v1/cache-events", self._receive_events)]

    async def _receive_events(self, request: web.Request) -> web.StreamResponse:
        body = await _body.read(request, self._limits)
        events = _body.decode(body, _decoder)
        replicas = self._shared.view.replicas
        if events.replica_id not in replicas:
            raise results.error(
                results.ResultCode.UNKNOWN_RESOURCE,
                f"no replica is named {events.replica_id!r}",
            )
        self._hints.retain_only(frozenset(replicas))
        is_accepted = self._hints.apply(events)
        code = results.ResultCode.OK.value
        return web.json_response({"code": code, "taken": is_accepted})
