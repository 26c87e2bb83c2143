"""Server that writes exactly the bytes of a script, request by request."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import dataclasses
import enum
import os
import re

from lagooncrank.server import _sockets
from lagooncrank.server.tests import stream_servers

#: Longer than a loopback connection takes to deliver bytes.
PAUSE_S = 0.02
_LENGTH = re.compile(rb"\r\ncontent-length: ([0-9]+)", re.IGNORECASE)


class End(enum.StrEnum):
    """What happens to a connection after an answer."""

    KEEP = "kept"
    CLOSE = "closed"
    RESET = "reset"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The bytes that one request brings about."""

    #: Written one after the other, with a pause between them.
    parts: tuple[bytes, ...]
    end: End = End.KEEP
    #: Whether the answer before, if it was on this connection, comes once more
    #: first.
    repeats: bool = False


class ScriptedServer:
    """Gives each request, on whatever connection, the next answer."""

    def __init__(self, answers: Sequence[Answer]) -> None:
        self._answers = list(answers)
        #: Heads of the requests, first to last.
        self.heads: list[bytes] = []
        #: Number of the connection of each request, from 0.
        self.connections: list[int] = []
        self._opened = 0
        self._writers: set[asyncio.StreamWriter] = set()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[str]:
        """Yields the address of the server."""
        async with stream_servers.running(self._serve) as address:
            yield address

    def write_unread(self, data: bytes) -> None:
        """Writes to all open connections before any client can read."""
        for writer in self._writers:
            sock = writer.get_extra_info("socket")
            assert os.write(sock.fileno(), data) == len(data)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        number = self._opened
        self._opened += 1
        end = End.CLOSE
        try:
            end = await self._answer_requests(reader, writer, number)
        except (ConnectionError, asyncio.IncompleteReadError):
            # The client left; the script goes on with the next connection.
            end = End.CLOSE
        finally:
            if end is End.RESET:
                _sockets.reset_on_close(writer.transport)
            writer.close()
            self._writers.discard(writer)

    async def _answer_requests(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> End:
        earlier = b""
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if found := _LENGTH.search(head):
                await reader.readexactly(int(found[1]))
            self.heads.append(head)
            self.connections.append(number)
            answer = self._answers.pop(0)
            if answer.repeats:
                writer.write(earlier)
            earlier = b"".join(answer.parts)
            for index, part in enumerate(answer.parts):
                if index:
                    await asyncio.sleep(PAUSE_S)
                writer.write(part)
                await writer.drain()
            if answer.end is not End.KEEP:
                return answer.end
