"""HTTP/1.1 messages on streams, as clients and servers use them."""

import asyncio
import dataclasses

#: Limit of one line of a head.
MAX_LINE_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class Message:
    """One request or response."""

    start_line: str
    #: Names in lower case.
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start_line.split(" ")[1])

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.start_line.split(" ")[1]

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start_line.split(" ")[0]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a head; None if the connection ends before its first byte.

    Raises:
        asyncio.IncompleteReadError: It ends inside the head.
    """
    line = await reader.readline()
    if not line:
        return None
    start_line = line.decode("latin-1").rstrip("\r\n")
    headers: dict[str, str] = {}
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        text = line.decode("latin-1").rstrip("\r\n")
        if not text:
            return Message(start_line, headers)
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Reads a body with a length or in chunks; none without either.

    Raises:
        asyncio.IncompleteReadError: The connection ends inside the body.
    """
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        body = bytearray()
        while True:
            size = int((await reader.readuntil(b"\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readuntil(b"\n")
            if not size:
                return bytes(body)
    return await reader.readexactly(
        int(head.headers.get("content-length", "0"))
    )


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a whole message; None if the connection ends before it."""
    head = await read_head(reader)
    if head is not None:
        head.body = await read_body(reader, head)
    return head


def encode(start_line: str, headers: dict[str, str], body: bytes) -> bytes:
    """Returns a message whose body has a length."""
    lines = [start_line, *(f"{n}: {v}" for n, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode("latin-1") + body


async def exchange(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Message:
    """Sends a request on a new connection and returns the whole response.

    Raises:
        OSError: There is no connection, or it breaks.
        asyncio.IncompleteReadError: It ends inside the response.
        TimeoutError: The response is not complete in time.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=MAX_LINE_BYTES
        )
        try:
            start_line = f"{method} {path} HTTP/1.1"
            usual = {"Host": host, "Connection": "close"}
            writer.write(encode(start_line, usual | (headers or {}), body))
            response = await read_message(reader)
            if response is None:
                raise ConnectionResetError("closed before a response")
            return response
        finally:
            writer.close()
