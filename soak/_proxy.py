"""A loopback TCP proxy that impairs the connections through it."""

import asyncio
import contextlib
import dataclasses
import enum
from typing import Final

from soak import _disturbances

CHUNK_BYTES: Final = 65_536
#: Interval at which `Proxy.stop` resets connections again. One that is still
#: being established cannot be reset yet.
STOP_POLL_S: Final = 0.1


class CutKind(enum.Enum):
    """How one client of a proxy is cut off."""

    #: Connections are reset, and new ones refused.
    RESET = enum.auto()
    #: Open connections live on, new ones are refused.
    REFUSE_NEW = enum.auto()
    #: Connections hang, new ones as well.
    SILENCE = enum.auto()


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

    def __init__(
        self,
        listen_address: str,
        target_address: str,
        watch: _disturbances.Watch | None = None,
    ) -> None:
        """Creates a proxy; `start` makes it listen.

        Args:
            listen_address: Address "ip:port" that clients connect to.
            target_address: Address "ip:port" that connections are forwarded
                to.
            watch: Records what is done to the connections, if given.
        """
        self.listen_address = listen_address
        self.target_address = target_address
        self.impairment = Impairment()
        self._watch = watch
        #: Clients, by address, whose new connections are reset.
        self._refused_clients: set[str] = set()
        #: Clients whose data, and that for them, is held back.
        self._silenced_clients: set[str] = set()
        #: Whether the server is silent, which is no disturbance.
        self._is_held = False
        self._impairment_changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        #: Both ends of each connection, with the address of its client.
        self._writers: dict[asyncio.StreamWriter, str] = {}

    async def start(self) -> None:
        """Starts listening."""
        host, _, port = self.listen_address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        # Data that is held back would keep its connection from ending.
        self._silenced_clients.clear()
        self._is_held = False
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
        if self._watch is not None and impairment == Impairment():
            self._watch.end(self.listen_address)
        elif self._watch is not None:
            self._watch.begin(self.listen_address)
        async with self._impairment_changed:
            self._impairment_changed.notify_all()

    def hold(self) -> None:
        """Makes the server as silent as a process that does not run.

        Connections and bytes are accepted, and passed on after `release`, also
        those that the client has given up by then.
        """
        self._is_held = True

    async def release(self) -> None:
        """Reverts `hold`."""
        self._is_held = False
        async with self._impairment_changed:
            self._impairment_changed.notify_all()

    async def cut(self, client: str, kind: CutKind) -> None:
        """Cuts one client off; its other paths are not affected."""
        if kind is not CutKind.SILENCE:
            self._refused_clients.add(client)
        if kind is CutKind.RESET:
            self.reset(client)
        if kind is CutKind.SILENCE:
            self._silenced_clients.add(client)

    async def join(self, client: str) -> None:
        """Reverts `cut`; data that was held back is forwarded."""
        self._refused_clients.discard(client)
        self._silenced_clients.discard(client)
        async with self._impairment_changed:
            self._impairment_changed.notify_all()

    def reset(self, client: str | None = None) -> None:
        """Resets every connection, or those of one client."""
        if self._watch is not None:
            self._watch.add()
        for writer, writer_client in list(self._writers.items()):
            if client in (None, writer_client):
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
        client: str = writer.get_extra_info("peername")[0]
        if (
            self.impairment.resets_new_connections
            or client in self._refused_clients
        ):
            writer.transport.abort()
            return
        host, _, port = self.target_address.rpartition(":")
        with contextlib.ExitStack() as stack:
            self._track(stack, writer, client)
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._track(stack, target_writer, client)
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._copy(reader, target_writer, client, is_request=True)
                )
                group.create_task(
                    self._copy(target_reader, writer, client, is_request=False)
                )

    def _track(
        self,
        stack: contextlib.ExitStack,
        writer: asyncio.StreamWriter,
        client: str,
    ) -> None:
        self._writers[writer] = client
        stack.callback(self._writers.pop, writer, None)
        stack.callback(writer.transport.abort)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        client: str,
        *,
        is_request: bool,
    ) -> None:
        """Copies one direction; a reset of one side resets the other."""
        # Any socket error here means that one side has disconnected.
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await self._wait_while_blocked(client, is_request=is_request)
                if self.impairment.delay_s:
                    await asyncio.sleep(self.impairment.delay_s)
                writer.write(chunk)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
            return
        writer.transport.abort()

    async def _wait_while_blocked(
        self, client: str, *, is_request: bool
    ) -> None:
        def is_unblocked() -> bool:
            impairment = self.impairment
            is_blocked = (
                impairment.blocks_requests
                if is_request
                else impairment.blocks_responses
            )
            is_silenced = self._is_held or client in self._silenced_clients
            return not is_blocked and not is_silenced

        async with self._impairment_changed:
            await self._impairment_changed.wait_for(is_unblocked)
