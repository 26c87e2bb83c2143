"""A minimal HTTP client that sees when and how its connections end."""

import asyncio
from collections.abc import Mapping
import dataclasses
from typing import Final

CONNECT_TIMEOUT_S: Final = 1.0


@dataclasses.dataclass(slots=True)
class Answer:
    """What arrived of an answer."""

    status: int = 0
    #: Names in lower case.
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False

    @property
    def says_close(self) -> bool:
        """Whether the connection should not be used again."""
        return self.headers.get("connection", "").lower() == "close"


class Connection:
    """One connection to an entry, used for one request at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        #: Number of requests that were answered.
        self.answered = 0

    @classmethod
    async def open(cls, address: str) -> "Connection":
        """Connects to an address.

        Raises:
            OSError: The connection was not established in time.
        """
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return cls(*await asyncio.open_connection(host, int(port)))

    @property
    def is_open(self) -> bool:
        """Whether the other side, as far as known here, has not closed."""
        return not (self._reader.at_eof() or self._writer.is_closing())

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    async def send(
        self, path: str, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Sends a whole request.

        Raises:
            OSError: The connection has ended.
        """
        lines = [f"POST {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self._writer.write("\r\n".join(lines).encode() + body)
        await self._writer.drain()

    async def receive(self) -> Answer:
        """Returns what arrives until the answer or the connection ends."""
        answer = Answer()
        try:
            await self._receive_head(answer)
            await self._receive_body(answer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            # Whatever broke off: the answer stays incomplete.
            return answer
        answer.is_complete = True
        self.answered += 1
        return answer

    async def _receive_head(self, answer: Answer) -> None:
        head = await self._reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        answer.status = int(first.split()[1])
        for line in lines:
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()

    async def _receive_body(self, answer: Answer) -> None:
        if "content-length" in answer.headers:
            length = int(answer.headers["content-length"])
            answer.body = await self._reader.readexactly(length)
            return
        if answer.headers.get("transfer-encoding", "").lower() != "chunked":
            raise ValueError("the answer has neither a length nor chunks")
        while length := int(await self._reader.readuntil(b"\r\n"), 16):
            answer.body += await self._reader.readexactly(length)
            await self._reader.readexactly(2)
        await self._reader.readuntil(b"\r\n")
