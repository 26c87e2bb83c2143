"""Low-overhead streaming client, so that a bench measures the server."""

import asyncio
import dataclasses
import json
import time

from hdrh import histogram

NS_PER_US = 1_000
#: Range and precision of the histograms, in microseconds.
LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
END_OF_HEADERS = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
ERROR_EVENT = b"event: error"
OK_STATUS = b"200"


def new_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram of microseconds."""
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


class Measurements:
    """Latencies and counts of the streams of one run."""

    def __init__(self) -> None:
        self.first_token_us = new_histogram()
        self.between_tokens_us = new_histogram()
        self.total_us = new_histogram()
        #: Responses by status: "broken" for streams that ended with an error
        #: event, "lost" for closed connections.
        self.responses: dict[str, int] = {}
        self.tokens = 0

    def count_response(self, status: str) -> None:
        """Counts a response by its HTTP status, "broken" or "lost"."""
        self.responses[status] = self.responses.get(status, 0) + 1


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One streaming request in its encoded form."""

    #: HTTP request with headers and body.
    data: bytes
    #: Tokens in a complete response.
    tokens: int

    @classmethod
    def build(
        cls, address: str, path: str, body: object, tokens: int, key: str = ""
    ) -> "Request":
        """Builds a POST request with a JSON body."""
        payload = json.dumps(body).encode()
        headers = (
            f"POST {path} HTTP/1.1\r\nHost: {address}\r\n"
            f"Content-Type: application/json\r\n"
            f"Authorization: Bearer {key}\r\n"
            f"Content-Length: {len(payload)}\r\n\r\n"
        )
        return cls(headers.encode() + payload, tokens)


class _Connection(asyncio.Protocol):
    """Persistent connection that measures one response at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self._headers = b""
        self._tail = b""
        self._status = b""
        self._due_ns = 0
        self._last_chunk_ns = 0
        self._request: Request | None = None
        self._measurements: Measurements | None = None
        self._finished: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        self._finish("lost")

    async def send_request(
        self, request: Request, measurements: Measurements, due_ns: int
    ) -> None:
        self._request = request
        self._measurements = measurements
        self._due_ns = due_ns
        self._last_chunk_ns = 0
        self._headers = self._tail = self._status = b""
        self._finished = asyncio.get_running_loop().create_future()
        assert self.transport is not None
        self.transport.write(request.data)
        await self._finished

    def data_received(self, data: bytes) -> None:
        now_ns = time.perf_counter_ns()
        if not self._status:
            data = self._read_headers(data)
            if not data:
                return
        if self._status != OK_STATUS:
            self._fail(self._status.decode())
            return
        self._record_chunk(now_ns)
        received = self._tail + data
        if ERROR_EVENT in received:
            self._fail("broken")
        elif received.endswith(LAST_CHUNK):
            self._complete(now_ns)
        self._tail = received[-len(ERROR_EVENT) :]

    def _read_headers(self, data: bytes) -> bytes:
        headers, found, rest = (self._headers + data).partition(END_OF_HEADERS)
        self._headers = headers
        if not found:
            return b""
        self._status = headers.split(b" ", 2)[1]
        return rest

    def _record_chunk(self, now_ns: int) -> None:
        assert self._measurements is not None
        if self._last_chunk_ns:
            gap_us = (now_ns - self._last_chunk_ns) // NS_PER_US
            self._measurements.between_tokens_us.record_value(max(1, gap_us))
        else:
            wait_us = (now_ns - self._due_ns) // NS_PER_US
            self._measurements.first_token_us.record_value(max(1, wait_us))
        self._last_chunk_ns = now_ns

    def _complete(self, now_ns: int) -> None:
        assert self._measurements is not None
        assert self._request is not None
        total_us = (now_ns - self._due_ns) // NS_PER_US
        self._measurements.total_us.record_value(max(1, total_us))
        self._measurements.tokens += self._request.tokens
        self._finish("200")

    def _fail(self, status: str) -> None:
        assert self.transport is not None
        self.transport.abort()
        self.closed = True
        self._finish(status)

    def _finish(self, status: str) -> None:
        if self._finished is not None and not self._finished.done():
            assert self._measurements is not None
            self._measurements.count_response(status)
            self._finished.set_result(None)


class StreamClient:
    """Sends streaming requests to one address over persistent connections."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: list[_Connection] = []

    async def send_request(
        self, request: Request, measurements: Measurements, due_ns: int
    ) -> None:
        """Sends a request and measures its response from `due_ns` on.

        A request that is sent later than it is due counts the delay as
        latency.
        """
        connection = await self._acquire_connection()
        await connection.send_request(request, measurements, due_ns)
        if not connection.closed:
            self._idle.append(connection)

    def close(self) -> None:
        """Closes the idle connections."""
        for connection in self._idle:
            if connection.transport is not None:
                connection.transport.abort()
        self._idle.clear()

    async def _acquire_connection(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.closed:
                return connection
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            _Connection, self._host, self._port
        )
        return connection
