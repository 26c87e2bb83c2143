"""Connections of callers, and of entries that delegate, to an entry."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Final

from aiohttp import web

from lagooncrank.server import _bounded_reads
from lagooncrank.server import _sockets
from lagooncrank.server.seeded import _fleet_view

KEEPALIVE_S: Final = 30.0
MAX_HEADERS: Final = 128
MAX_LINE_BYTES: Final = 32_768
#: Time for handlers to end after they are cancelled at the cut.
CUT_TIMEOUT_S: Final = 0.05
#: Steps of the event loop after which a request that had arrived on a
#: connection before it was closed is in progress.
ARRIVAL_STEPS: Final = 4
#: Time without any request after which a stopping entry closes its connections;
#: longer than a request on a new connection takes to arrive.
QUIET_S: Final = 0.1

#: Reading from a connection pauses above twice as many bytes of a body.
READ_BUFFER_BYTES: Final = 16_384

RequestHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class _Protocol(web.RequestHandler, _bounded_reads.BoundedReads):
    """Connection of a caller that is read a little at a time."""


class _Server(web.Server):
    """Server whose connections hold few bytes that are not handled yet."""

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection."""
        return _Protocol(self, loop=self._loop, **self._kwargs)


class CallerConnections:
    """Accepts connections, and ends them in a planned stop."""

    def __init__(self, view: _fleet_view.FleetView) -> None:
        self._view = view
        #: Whether each connection is closed after its next response.
        self.is_closing = False
        #: Whether the connections are closed, whatever is in flight.
        self.is_stopped = False
        self._in_flight = 0
        #: Number of requests since the start.
        self._served = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._servers: list[web.Server] = []
        self._listeners: list[asyncio.Server] = []

    async def listen(self, address: str, handler: RequestHandler) -> None:
        """Starts to listen at an address.

        Args:
            address: Address, "ip:port".
            handler: Serves the requests that arrive there.
        """

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return await self._track(request, handler)

        server = _Server(
            handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_HEADERS,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
        )
        self._servers.append(server)
        sock = _sockets.listener(address)
        loop = asyncio.get_running_loop()
        self._listeners.append(await loop.create_server(server, sock=sock))

    def stop_accepting(self) -> None:
        """Refuses new connections; open ones are served on."""
        for listener in self._listeners:
            listener.close()

    async def drain(self, timeout_s: float) -> bool:
        """Waits until no request has been in flight for a moment.

        A request may have arrived on an open connection just when the last
        one ended.

        Returns:
            Whether that was so within the timeout.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not await self._stays_idle():
                    await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def _stays_idle(self) -> bool:
        """Returns whether no request is or comes in flight for a moment."""
        if not self._idle.is_set():
            return False
        served = self._served
        await asyncio.sleep(QUIET_S)
        return self._idle.is_set() and self._served == served

    async def stop(self, wait_s: float = 0.0) -> None:
        """Closes the listening sockets and every connection.

        Idle connections are closed at once: what arrives on them later is not
        read.

        Args:
            wait_s: Time for the requests in flight to end before they are cut.
        """
        self.stop_accepting()
        for server in self._servers:
            server.pre_shutdown()
        for _ in range(ARRIVAL_STEPS):
            await asyncio.sleep(0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                # Returns once the last response is written.
                await self._shut_down(wait_s + CUT_TIMEOUT_S)
        self.is_stopped = True
        await self._shut_down(CUT_TIMEOUT_S)

    async def _shut_down(self, timeout_s: float) -> None:
        await asyncio.gather(
            *(server.shutdown(timeout_s) for server in self._servers)
        )

    async def _track(
        self, request: web.BaseRequest, handler: RequestHandler
    ) -> web.StreamResponse:
        """Serves a request and counts it as in flight meanwhile."""
        self._in_flight += 1
        self._served += 1
        self._idle.clear()
        self._view.has_served = True
        try:
            response = await handler(request)
        finally:
            self._in_flight -= 1
            if self._in_flight == 0:
                self._idle.set()
        if self.is_closing and not response.prepared:
            # A head that was sent has told the caller whether it may go on.
            response.force_close()
        return response
