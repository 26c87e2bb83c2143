"""A loopback TCP proxy that impairs the connections through it."""

import asyncio
import contextlib
import dataclasses
from typing import Final

CHUNK_BYTES: Final = 65_536
#: Interval at which `Proxy.stop` resets connections again. One that is still
#: being established cannot be reset yet.
STOP_POLL_S: Final = 0.1


@dataclasses.dataclass(slots=True)
class Impairment:
    """How a proxy impairs its connections."""

    #: Delay of each chunk, in both directions.
    delay_s: float = 0.0
    #: Whether data from the client is held back.
    blocks_requests: bool = False
    #: Whether data from the server is held back.
    blocks_responses: bool = False
    #: Whether new connections are reset.
    resets_new_connections: bool = False


class Proxy:
    """Forwards connections from one address to another."""

    def __init__(self, listen_address: str, target_address: str) -> None:
        """Creates a proxy; `start` makes it listen.

        Args:
            listen_address: Address "ip:port" that clients connect to.
            target_address: Address "ip:port" that connections are forwarded
                to.
        """
        self.listen_address = listen_address
        self.target_address = target_address
        self.impairment = Impairment()
        self._impairment_changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts listening."""
        host, _, port = self.listen_address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        await self.impair(Impairment(resets_new_connections=True))
        while self._tasks:
            self.reset()
            await asyncio.wait(self._tasks, timeout=STOP_POLL_S)

    async def impair(self, impairment: Impairment) -> None:
        """Replaces the impairment.

        Data that was held back is forwarded unless the new impairment blocks
        it as well.
        """
        self.impairment = impairment
        async with self._impairment_changed:
            self._impairment_changed.notify_all()

    def reset(self) -> None:
        """Resets every connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._forward(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            # One side has disconnected; the other side must notice it, too.
            writer.transport.abort()
        finally:
            self._tasks.discard(task)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.impairment.resets_new_connections:
            writer.transport.abort()
            return
        host, _, port = self.target_address.rpartition(":")
        with contextlib.ExitStack() as stack:
            self._track(stack, writer)
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._track(stack, target_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._copy(reader, target_writer, is_request=True)
                )
                group.create_task(
                    self._copy(target_reader, writer, is_request=False)
                )

    def _track(
        self, stack: contextlib.ExitStack, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        stack.callback(self._writers.discard, writer)
        stack.callback(writer.transport.abort)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_request: bool,
    ) -> None:
        """Copies one direction; a reset of one side resets the other."""
        # Any socket error here means that one side has disconnected.
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await self._wait_while_blocked(is_request=is_request)
                if self.impairment.delay_s:
                    await asyncio.sleep(self.impairment.delay_s)
                writer.write(chunk)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
            return
        writer.transport.abort()

    async def _wait_while_blocked(self, *, is_request: bool) -> None:
        def is_unblocked() -> bool:
            impairment = self.impairment
            is_blocked = (
                impairment.blocks_requests
                if is_request
                else impairment.blocks_responses
            )
            return not is_blocked

        async with self._impairment_changed:
            await self._impairment_changed.wait_for(is_unblocked)
