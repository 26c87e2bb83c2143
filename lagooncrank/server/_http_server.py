"""Serves the HTTP application on the entry's address."""

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

#: How long the rest of a refused body is read and dropped.
LINGER_S = 1.0
KEEPALIVE_S = 75.0
#: Header lines of one request.
MAX_HEADERS = 64
#: How long the last bytes of answers may take once the entry stops.
SHUTDOWN_S = 5.0
#: Sweeps for connections without a request, per sender timeout.
SWEEPS_PER_TIMEOUT = 4

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class HttpServer(mode.Service):
    """Accepts connections while it is started.

    A connection whose first request head does not arrive within the sender
    timeout is closed; the library itself would keep it for ever.
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
        self._timeout_ms = limits.sender_timeout_ms
        self._metrics = metrics
        self._clock = clock
        #: Connections that brought a request.
        self._used: set[web.RequestHandler] = set()
        #: When each other connection was first seen.
        self._seen_ms: dict[web.RequestHandler, int] = {}
        app.middlewares.insert(0, self._note_use())
        self._runner = web.AppRunner(
            app,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            lingering_time=LINGER_S,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            max_headers=MAX_HEADERS,
            shutdown_timeout=SHUTDOWN_S,
        )

    async def on_start(self) -> None:
        """Starts to accept connections."""
        await self._runner.setup()
        await web.SockSite(self._runner, self._listener).start()

    async def on_stop(self) -> None:
        """Closes the listening socket and every connection."""
        await self._runner.cleanup()

    def sweep(self, now_ms: int) -> None:
        """Closes connections that have brought no request in time."""
        server = self._runner.server
        if server is None:
            return
        connections = server.connections
        self._used.intersection_update(connections)
        self._seen_ms = {
            connection: self._seen_ms.get(connection, now_ms)
            for connection in connections
            if connection not in self._used
        }
        for connection, first_ms in self._seen_ms.items():
            if now_ms - first_ms >= self._timeout_ms:
                self._close(connection)

    def _close(self, connection: web.RequestHandler) -> None:
        if connection.transport is None:
            return
        connection.transport.abort()
        self._metrics.count_error(results.ResultCode.SENDER_TOO_SLOW)

    @mode.Service.task
    async def _sweep_regularly(self) -> None:
        while not self.should_stop:
            self.sweep(self._clock.now_ms())
            interval_ms = self._timeout_ms / SWEEPS_PER_TIMEOUT
            await self.sleep(interval_ms / clocks.MS_PER_S)

    def _note_use(self) -> typedefs.Middleware:
        @web.middleware
        async def note(
            request: web.Request, handler: _Handler
        ) -> web.StreamResponse:
            self._used.add(request.protocol)
            return await handler(request)

        return note
