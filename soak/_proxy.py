"""A loopback proxy that harms the connections which run through it."""

import asyncio
import contextlib
import dataclasses
from typing import Final

CHUNK_BYTES: Final = 65_536
#: A connection that is only being made cannot be reset yet.
STOP_POLL_S: Final = 0.1


@dataclasses.dataclass(slots=True)
class Harm:
    """What is done to connections now."""

    #: Added to each piece, in both directions.
    delay_s: float = 0.0
    #: Whether what the dialling side sends is held back.
    holds_requests: bool = False
    #: Whether what the listening side sends is held back.
    holds_answers: bool = False
    #: Whether new connections are reset.
    refuses: bool = False


class Proxy:
    """Passes connections from one address on to another."""

    def __init__(self, listen: str, target: str) -> None:
        """Prepares a proxy.

        Args:
            listen: Address "ip:port" that others dial.
            target: Address that the connections lead to.
        """
        self.listen = listen
        self.target = target
        self.harm = Harm()
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens."""
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        """Closes all connections."""
        if self._server is not None:
            self._server.close()
        await self.set(Harm(refuses=True))
        while self._tasks:
            self.reset()
            await asyncio.wait(self._tasks, timeout=STOP_POLL_S)

    async def set(self, harm: Harm) -> None:
        """Changes what is done to connections; held pieces then go on."""
        self.harm = harm
        async with self._changed:
            self._changed.notify_all()

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
            await self._carry(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            # Either side has gone; the other one sees it, too.
            writer.transport.abort()
        finally:
            self._tasks.discard(task)

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.harm.refuses:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        with contextlib.ExitStack() as stack:
            self._track(stack, writer)
            there_reader, there = await asyncio.open_connection(host, int(port))
            self._track(stack, there)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, there, is_request=True))
                group.create_task(
                    self._pump(there_reader, writer, is_request=False)
                )

    def _track(
        self, stack: contextlib.ExitStack, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        stack.callback(self._writers.discard, writer)
        stack.callback(writer.transport.abort)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_request: bool,
    ) -> None:
        """Passes one direction on; a reset of one side resets the other."""
        # Any error of a socket here means that one side has gone.
        with contextlib.suppress(OSError):
            while piece := await reader.read(CHUNK_BYTES):
                await self._hold(is_request=is_request)
                if self.harm.delay_s:
                    await asyncio.sleep(self.harm.delay_s)
                writer.write(piece)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
            return
        writer.transport.abort()

    async def _hold(self, *, is_request: bool) -> None:
        def goes_on() -> bool:
            harm = self.harm
            held = harm.holds_requests if is_request else harm.holds_answers
            return not held

        async with self._changed:
            await self._changed.wait_for(goes_on)
