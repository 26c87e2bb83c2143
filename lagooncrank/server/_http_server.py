"""HTTP server of an entry."""

from collections.abc import Awaitable
from collections.abc import Callable
import socket

from aiohttp import typedefs
from aiohttp import web
import mode

from lagooncrank import clock as clocks
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.server import _metrics

#: How long the rest of a refused request's body is read and discarded.
LINGERING_TIME_S = 1.0
KEEPALIVE_TIMEOUT_S = 75.0
#: Maximum number of header lines in a request.
MAX_HEADERS = 64
#: How long open responses may take to complete once the entry stops.
SHUTDOWN_TIMEOUT_S = 5.0
#: Sweeps for connections without a request in each sender timeout.
SWEEPS_PER_TIMEOUT = 4

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class HttpServer(mode.Service):
    """Serves an HTTP application on a listening socket.

    A connection whose first request head does not arrive within the sender
    timeout is closed; aiohttp itself would keep it open indefinitely.
    """

    def __init__(
        self,
        app: web.Application,
        listener: socket.socket,
        limits: settings.LimitSettings,
        metrics: _metrics.Metrics,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._listener = listener
        self._sender_timeout_ms = limits.sender_timeout_ms
        self._metrics = metrics
        self._clock = clock
        #: Connections that delivered a request head.
        self._with_request: set[web.RequestHandler] = set()
        #: When a sweep first saw each of the other connections.
        self._first_seen_ms: dict[web.RequestHandler, int] = {}
        app.middlewares.insert(0, self._request_recorder())
        self._runner = web.AppRunner(
            app,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            lingering_time=LINGERING_TIME_S,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            max_headers=MAX_HEADERS,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )

    async def on_start(self) -> None:
        """Starts accepting connections."""
        await self._runner.setup()
        await web.SockSite(self._runner, self._listener).start()

    async def on_stop(self) -> None:
        """Closes the listening socket and every connection."""
        await self._runner.cleanup()

    def sweep(self, now_ms: int) -> None:
        """Closes connections that delivered no request head in time."""
        server = self._runner.server
        if server is None:
            return
        connections = server.connections
        self._with_request.intersection_update(connections)
        self._first_seen_ms = {
            connection: self._first_seen_ms.get(connection, now_ms)
            for connection in connections
            if connection not in self._with_request
        }
        for connection, first_seen_ms in self._first_seen_ms.items():
            if now_ms - first_seen_ms >= self._sender_timeout_ms:
                self._abort(connection)

    def _abort(self, connection: web.RequestHandler) -> None:
        if connection.transport is None:
            return
        connection.transport.abort()
        self._metrics.count_error(results.ResultCode.SENDER_TOO_SLOW)

    @mode.Service.task
    async def _sweep_periodically(self) -> None:
        while not self.should_stop:
            self.sweep(self._clock.now_ms())
            interval_ms = self._sender_timeout_ms / SWEEPS_PER_TIMEOUT
            await self.sleep(interval_ms / clocks.MS_PER_S)

    def _request_recorder(self) -> typedefs.Middleware:
        @web.middleware
        async def record_request(
            request: web.Request, handler: _Handler
        ) -> web.StreamResponse:
            self._with_request.add(request.protocol)
            return await handler(request)

        return record_request
