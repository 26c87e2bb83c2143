"""Streaming clients that cost little, so that a bench measures the server."""

import asyncio
import dataclasses
import json
import time

from hdrh import histogram

NS_PER_US = 1_000
#: Range and precision of the histograms, in microseconds.
LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 3
END_OF_HEAD = b"\r\n\r\n"
END_OF_ANSWER = b"0\r\n\r\n"
ERROR_EVENT = b"event: error"
#: Requests over one kept connection when the server is idle.
OK_STATUS = b"200"


def new_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram of microseconds."""
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


class Measurements:
    """What the streams of one run took, in microseconds."""

    def __init__(self) -> None:
        self.first_token_us = new_histogram()
        self.between_tokens_us = new_histogram()
        self.whole_us = new_histogram()
        #: Answers by status; "broken" for streams that ended in an error.
        self.answers: dict[str, int] = {}
        self.tokens = 0

    def count(self, status: str) -> None:
        """Counts an answer."""
        self.answers[status] = self.answers.get(status, 0) + 1


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One streaming request, ready to be sent."""

    #: Whole HTTP request.
    data: bytes
    #: Tokens of a whole answer.
    tokens: int

    @classmethod
    def to(
        cls, address: str, path: str, body: object, tokens: int, key: str = ""
    ) -> "Request":
        """Builds a request from its JSON body."""
        payload = json.dumps(body).encode()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {address}\r\n"
            f"Content-Type: application/json\r\n"
            f"Authorization: Bearer {key}\r\n"
            f"Content-Length: {len(payload)}\r\n\r\n"
        )
        return cls(head.encode() + payload, tokens)


class _Connection(asyncio.Protocol):
    """One kept connection; measures one answer at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self._head = b""
        self._tail = b""
        self._status = b""
        self._due_ns = 0
        self._last_ns = 0
        self._request: Request | None = None
        self._into: Measurements | None = None
        self._ended: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        self._end("lost")

    async def send_request(
        self, request: Request, into: Measurements, due_ns: int
    ) -> None:
        self._request = request
        self._into = into
        self._due_ns = due_ns
        self._last_ns = 0
        self._head = self._tail = self._status = b""
        self._ended = asyncio.get_running_loop().create_future()
        assert self.transport is not None
        self.transport.write(request.data)
        await self._ended

    def data_received(self, data: bytes) -> None:
        now_ns = time.perf_counter_ns()
        if not self._status:
            data = self._take_head(data)
            if not data:
                return
        if self._status != OK_STATUS:
            self._fail(self._status.decode())
            return
        self._note(now_ns)
        ending = self._tail + data
        if ERROR_EVENT in ending:
            self._fail("broken")
        elif ending.endswith(END_OF_ANSWER):
            self._complete(now_ns)
        self._tail = ending[-len(ERROR_EVENT) :]

    def _take_head(self, data: bytes) -> bytes:
        head, found, rest = (self._head + data).partition(END_OF_HEAD)
        self._head = head
        if not found:
            return b""
        self._status = head.split(b" ", 2)[1]
        return rest

    def _note(self, now_ns: int) -> None:
        assert self._into is not None
        if self._last_ns:
            gap_us = (now_ns - self._last_ns) // NS_PER_US
            self._into.between_tokens_us.record_value(max(1, gap_us))
        else:
            wait_us = (now_ns - self._due_ns) // NS_PER_US
            self._into.first_token_us.record_value(max(1, wait_us))
        self._last_ns = now_ns

    def _complete(self, now_ns: int) -> None:
        assert self._into is not None
        assert self._request is not None
        whole_us = (now_ns - self._due_ns) // NS_PER_US
        self._into.whole_us.record_value(max(1, whole_us))
        self._into.tokens += self._request.tokens
        self._end("200")

    def _fail(self, status: str) -> None:
        assert self.transport is not None
        self.transport.abort()
        self.closed = True
        self._end(status)

    def _end(self, status: str) -> None:
        if self._ended is not None and not self._ended.done():
            assert self._into is not None
            self._into.count(status)
            self._ended.set_result(None)


class StreamClient:
    """Sends streaming requests to one address over kept connections."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: list[_Connection] = []

    async def send_request(
        self, request: Request, into: Measurements, due_ns: int
    ) -> None:
        """Sends a request and measures its answer from `due_ns` on."""
        connection = await self._connection()
        await connection.send_request(request, into, due_ns)
        if not connection.closed:
            self._idle.append(connection)

    def close(self) -> None:
        """Closes the kept connections."""
        for connection in self._idle:
            if connection.transport is not None:
                connection.transport.abort()
        self._idle.clear()

    async def _connection(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.closed:
                return connection
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            _Connection, self._host, self._port
        )
        return connection
