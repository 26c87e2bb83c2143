"""Fake backend server that writes its responses byte by byte."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

from lagooncrank.server import _sockets
from lagooncrank.server.tests import stream_servers

PAUSE_S = 0.01


class RawServer:
    """Sends the same bytes for each request, then ends the connection."""

    def __init__(self, parts: list[bytes], resets: bool | None) -> None:
        """Creates a server.

        Args:
            parts: Written one after the other, with a pause between them.
            resets: Whether the connection is reset or closed; None if it
                stays open.
        """
        self._parts = parts
        self._resets = resets
        self.connections = 0
        self.requests = 0

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[str]:
        """Yields the address of the server."""
        async with stream_servers.running(self._serve) as address:
            yield address

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                for part in self._parts:
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(PAUSE_S)
                if self._resets is not None:
                    break
        if self._resets:
            _sockets.reset_on_close(writer.transport)
        writer.close()
