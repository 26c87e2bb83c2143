"""Servers and clients of raw connections, which end with their test.

A connection that a test leaves open is closed when it is collected. By then its
event loop is closed, and the error hits whichever test runs at that time.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

LOOPBACK = "127.0.0.1"

Handler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class OpenConnections:
    """Connections that are open, to be closed with their test."""

    def __init__(self) -> None:
        self._writers: set[asyncio.StreamWriter] = set()
        self._handlers: set[asyncio.Task[None]] = set()

    async def serve(
        self,
        handler: Handler,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Runs a handler; the connection is closed when it ends."""
        task = asyncio.current_task()
        assert task is not None
        self._handlers.add(task)
        self.add(writer)
        try:
            await handler(reader, writer)
        finally:
            writer.close()
            self._writers.discard(writer)
            self._handlers.discard(task)

    def add(self, writer: asyncio.StreamWriter) -> None:
        """Adds a connection."""
        self._writers.add(writer)

    async def close(self) -> None:
        """Aborts every connection, and waits until the handlers have ended."""
        handlers = list(self._handlers)
        for task in handlers:
            task.cancel()
        await asyncio.gather(*handlers, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()


@contextlib.asynccontextmanager
async def running(handler: Handler, port: int = 0) -> AsyncIterator[str]:
    """Runs a server on the loopback address; yields its address.

    Args:
        handler: Serves each connection.
        port: Port to listen on; 0 for a free one.
    """
    connections = OpenConnections()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await connections.serve(handler, reader, writer)

    server = await asyncio.start_server(serve, LOOPBACK, port)
    host, bound_port = server.sockets[0].getsockname()[:2]
    try:
        yield f"{host}:{bound_port}"
    finally:
        server.close()
        await connections.close()
