"""Serves the HTTP application on the entry's address."""

import socket

from aiohttp import web
import mode

from lagooncrank import settings

#: How long the rest of a refused body is read and dropped.
LINGER_S = 1.0
KEEPALIVE_S = 75.0
#: Header lines of one request.
MAX_HEADERS = 64
#: How long the last bytes of answers may take once the entry stops.
SHUTDOWN_S = 5.0


class HttpServer(mode.Service):
    """Accepts connections while it is started."""

    def __init__(
        self,
        app: web.Application,
        listener: socket.socket,
        limits: settings.LimitSettings,
    ) -> None:
        super().__init__()
        self._listener = listener
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
