"""HTTP client connections that close when a server sends more than a response.

Nothing but a valid head reaches the parser of the HTTP library, so that bytes
which are no response are none for every reader of responses.

The HTTP library limits the length of a line and pauses a body that is not
read. It does not limit interim responses, chunk extensions, trailers and the
bytes after a response, which a faulty server may send without end. It keeps a
connection whose last read also brought the start of something else; here, a
connection with any byte that belongs to no request carries no other request.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
import functools
from typing import Any
from typing import Final

import aiohttp
from aiohttp import client_proto
from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams
import prometheus_client

from lagooncrank.server import _bounded_reads
from lagooncrank.server import _connection_end
from lagooncrank.server import _idle_connections
from lagooncrank.server import _response_heads
from lagooncrank.server import _sockets

#: Limit of all bytes before the body, with interim responses.
MAX_HEAD_BYTES: Final = 65_536
#: A server sends one or two before its response.
MAX_INTERIM_RESPONSES: Final = 16
#: Limit of the bytes of a chunked body that are not content (chunk sizes,
#: extensions and trailers), beside one for some bytes of content. An event of
#: 20 bytes in a chunk of its own has 6; each chunk costs some microseconds.
MAX_FRAMING_BYTES: Final = 524_288
BODY_BYTES_PER_FRAMING_BYTE: Final = 4
#: Reading from a connection pauses above twice as many bytes of a body.
READ_BUFFER_BYTES: Final = 8_192
#: Bytes of a body that are processed in one turn of the event loop.
TURN_BYTES: Final = 8_192
#: End of a chunked body, with or without trailers, and the same with an empty
#: line that follows the body.
_CHUNKED_END: Final = b"\r\n\r\n"
_CHUNKED_END_AND_MORE: Final = b"\r\n\r\n\r\n"

MALFORMED_RESPONSES: Final = prometheus_client.Counter(
    "lagooncrank_malformed_responses",
    "Bytes of servers that are no response, by why.",
    ["problem"],
)

_Message = tuple[http_parser.RawResponseMessage, streams.StreamReader]


class UnusableResponseError(aiohttp.ClientPayloadError):
    """What a server sent is not used; its connection is closed."""


class ResponseTooLargeError(UnusableResponseError):
    """A response exceeds a limit."""


class MalformedResponseError(UnusableResponseError):
    """A server sent bytes that are no response."""

    def __init__(self, problem: _response_heads.Problem, received: str) -> None:
        self.problem = problem
        #: Description of these bytes; it may quote them.
        self.received = received
        super().__init__(f"malformed response: {problem.meaning}")


class BoundedConnector(aiohttp.TCPConnector):
    """Connector whose connections limit the bytes around response bodies."""

    def __init__(self, **options: Any) -> None:
        """Creates a connector.

        Args:
            **options: Options of the connector of the HTTP library. Sockets
                are those of this package unless a factory is given.
        """
        options.setdefault("socket_factory", _sockets.client_socket)
        super().__init__(**options)
        protocol: type[client_proto.ResponseHandler] = _BoundedProtocol
        self._factory = functools.partial(protocol, loop=self._loop)

    def close_idle(self) -> None:
        """Closes the connections that wait for a request."""
        for connections in self._conns.values():
            for idle_protocol, _ in connections:
                idle_protocol.close()


def open_session(
    connector: BoundedConnector,
    timeout: aiohttp.ClientTimeout,
    skip_auto_headers: Sequence[str] = ("Accept-Encoding",),
    **options: Any,
) -> aiohttp.ClientSession:
    """Returns a session for requests to servers that may be faulty.

    Args:
        connector: Connector of the session.
        timeout: Timeouts of each request.
        skip_auto_headers: Headers that the library does not add; bodies are
            never decompressed.
        **options: Further options of the session.
    """
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        # A small compressed body may expand without end.
        auto_decompress=False,
        skip_auto_headers=skip_auto_headers,
        cookie_jar=aiohttp.DummyCookieJar(),
        response_class=_connection_end.ClientResponse,
        read_bufsize=READ_BUFFER_BYTES,
        max_line_size=MAX_HEAD_BYTES,
        max_field_size=MAX_HEAD_BYTES,
        # The limit of the whole head applies instead.
        max_headers=MAX_HEAD_BYTES,
        **options,
    )


async def read_chunks(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[bytes]:
    """Yields a body as it arrives, with turns for other tasks in between.

    An error of the connection follows all bytes that came before it; the
    library alone raises it at once.
    """
    read_bytes = 0
    while True:
        try:
            chunk = await response.content.read(TURN_BYTES)
        except Exception:
            if rest := response.content._read_nowait(-1):
                yield rest
            raise
        if not chunk:
            return
        yield chunk
        read_bytes += len(chunk)
        if read_bytes < response.content.total_bytes:
            # Bytes that wait already would be read without a pause.
            await asyncio.sleep(0)


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Returns a whole body.

    Raises:
        ResponseTooLargeError: It exceeds the limit; the connection is closed.
    """
    body = bytearray()
    try:
        check_length(response.content_length, max_bytes)
        async for chunk in read_chunks(response):
            body += chunk
            check_length(len(body), max_bytes)
    except ResponseTooLargeError:
        response.close()
        raise
    return bytes(body)


def check_length(length: int | None, max_bytes: int) -> None:
    """Checks the length of a body; None is an unknown length.

    Raises:
        ResponseTooLargeError: It exceeds the limit.
    """
    if length is not None and length > max_bytes:
        raise ResponseTooLargeError(f"the body exceeds {max_bytes} bytes")


class _BoundedProtocol(
    client_proto.ResponseHandler, _bounded_reads.BoundedReads
):
    """Tells the bytes of each response from those around them."""

    def __init__(self, loop: Any) -> None:
        super().__init__(loop)
        self._awaits_head = False
        self._head = _response_heads.HeadReader()
        #: Bytes received of interim responses.
        self._interim_bytes = 0
        self._interim_responses = 0
        #: Bytes received since the head, with chunk sizes and trailers.
        self._body_bytes = 0
        #: Stated length of the body; None if it has chunks or no length.
        self._body_length: int | None = None
        self._is_chunked = False
        #: Last bytes of a chunked body, as received so far.
        self._tail_bytes = b""
        self._failure: UnusableResponseError | None = None
        self._heard_s = loop.time()
        #: Longest idle time by the server's word; None if not stated.
        self._max_idle_s: float | None = None

    def is_connected(self) -> bool:
        """Returns whether the connection may carry another request."""
        if not super().is_connected():
            return False
        return not self._is_idle or self._is_usable()

    @property
    def _is_idle(self) -> bool:
        payload = self._payload
        return not self._awaits_head and (payload is None or payload.is_eof())

    def _is_usable(self) -> bool:
        idle_s = self._loop.time() - self._heard_s
        if self._max_idle_s is not None and idle_s >= self._max_idle_s:
            return False
        return not _idle_connections.has_unread_input(self.transport)

    def set_response_params(self, **params: Any) -> None:
        """Prepares for the response to the next request."""
        self._awaits_head = True
        self._head = _response_heads.HeadReader()
        self._interim_bytes = 0
        self._interim_responses = 0
        self._body_bytes = 0
        self._tail_bytes = b""
        super().set_response_params(**params)

    def close(self) -> None:
        """Closes the connection; the rest of a request is not sent any more.

        A transport that closes sends what it has buffered first, and a server
        that reads slowly would get, and run, a request that was given up.
        """
        transport = self.transport
        if transport is not None and transport.get_write_buffer_size():
            transport.abort()
        super().close()

    def feed_data(self, data: _Message, size: int = 0) -> None:
        """Accepts the head of the final response from the parser."""
        if not self._awaits_head:
            self._exceed("the server sent a further response")
            return
        self._awaits_head = False
        self._read_framing(data[0])
        super().feed_data(data, size)

    def _read_framing(self, message: http_parser.RawResponseMessage) -> None:
        """Notes where the body ends, and how long the connection is kept."""
        headers = message.headers
        self._is_chunked = message.chunked
        self._body_length = None
        if not message.chunked and "Content-Length" in headers:
            self._body_length = int(headers["Content-Length"])
        if "Transfer-Encoding" in headers and (
            "Content-Length" in headers
            or message.version < aiohttp.HttpVersion11
        ):
            # The server may mean another end of the body (RFC 9112, 6.1).
            self.force_close()
        self._max_idle_s = _idle_connections.max_idle_s(headers)

    def data_received(self, data: bytes) -> None:
        """Passes received bytes to the parser within the limits."""
        if self._failure is not None:
            return
        self._heard_s = self._loop.time()
        if not self._awaits_head:
            self._receive_body(data)
            return
        while data and self._awaits_head and self.exception() is None:
            data = data[self._receive_head(data) :]
        if data and self.exception() is None:
            self._receive_body(data)

    def _receive_head(self, data: bytes) -> int:
        """Accepts bytes of a head, and passes it on once it is complete.

        Interim responses are not passed on, as nobody reads them.

        Returns:
            The number of bytes that belong to the head.
        """
        head = self._head
        try:
            head_bytes = head.feed(data)
        except _response_heads.MalformedHeadError as error:
            self._reject(error.problem, repr(error.excerpt))
            return 0
        if self._interim_bytes + head.size_bytes > MAX_HEAD_BYTES:
            self._exceed(f"the head exceeds {MAX_HEAD_BYTES} bytes")
        elif head.is_complete and head.is_interim:
            self._skip_interim()
        elif head.is_complete:
            self._parse(head.content)
        return head_bytes

    def _skip_interim(self) -> None:
        self._interim_responses += 1
        self._interim_bytes += self._head.size_bytes
        self._head = _response_heads.HeadReader()
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            self._exceed(f"over {MAX_INTERIM_RESPONSES} interim responses")

    def _parse(self, head: bytes) -> None:
        super().data_received(head)
        if self._payload is not None:
            self._end_malformed(self._payload)
        if self._awaits_head and self.exception() is None:
            self._reject(_response_heads.Problem.SYNTAX, "no end of the head")

    def set_exception(self, exc: BaseException, *causes: BaseException) -> None:
        """Ends the wait for a head; why it failed first is not overwritten."""
        if self._failure is not None:
            super().set_exception(self._failure)
        elif isinstance(exc, http_exceptions.HttpProcessingError):
            super().set_exception(
                _malformed(_response_heads.Problem.SYNTAX, repr(exc))
            )
        else:
            super().set_exception(exc, *causes)

    def _receive_body(self, data: bytes) -> None:
        payload = self._payload
        if payload is None or payload.is_eof():
            # An empty chunk only continues the parser after a pause.
            if data:
                self._exceed("bytes follow the response")
            return
        data = self._cut_body(data)
        self._body_bytes += len(data)
        super().data_received(data)
        self._end_malformed(payload)
        if self._is_chunked and payload.is_eof() and not self._ends_in_order():
            self._exceed("bytes follow the response")
            return
        framing_bytes = self._body_bytes - payload.total_raw_bytes
        allowed = payload.total_raw_bytes // BODY_BYTES_PER_FRAMING_BYTE
        if framing_bytes > MAX_FRAMING_BYTES + allowed:
            self._exceed("the chunk sizes and trailers exceed their limit")

    def _cut_body(self, data: bytes) -> bytes:
        """Returns the bytes that belong to the body, as far as that shows."""
        if self._body_length is None:
            kept_bytes = len(_CHUNKED_END_AND_MORE)
            self._tail_bytes = (self._tail_bytes + data)[-kept_bytes:]
            return data
        missing_bytes = self._body_length - self._body_bytes
        if len(data) > missing_bytes:
            self.force_close()
        return data[:missing_bytes]

    def _ends_in_order(self) -> bool:
        """Returns whether a complete chunked body ends the bytes so far."""
        tail = self._tail_bytes
        return tail.endswith(_CHUNKED_END) and tail != _CHUNKED_END_AND_MORE

    def _end_malformed(self, payload: streams.StreamReader) -> None:
        """Ends a body that the parser gave up.

        The library reports the error to the wait for a head only.
        """
        error = self.exception()
        if error is None or payload.is_eof() or payload.exception() is not None:
            return
        if not isinstance(error, UnusableResponseError):
            error = aiohttp.ClientPayloadError(repr(error))
        payload.set_exception(error)

    def _exceed(self, detail: str) -> None:
        """Ends a response that exceeds a limit."""
        self._fail(ResponseTooLargeError(detail))

    def _reject(self, problem: _response_heads.Problem, received: str) -> None:
        """Ends a response that is none."""
        self._fail(_malformed(problem, received))

    def _fail(self, error: UnusableResponseError) -> None:
        """Closes the connection, and ends the response if it is incomplete."""
        self._failure = error
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
            # The loss of the connection would overwrite the exception.
            self._payload = None
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


def _malformed(
    problem: _response_heads.Problem, received: str
) -> MalformedResponseError:
    """Returns the error of a response that is none, and counts it."""
    MALFORMED_RESPONSES.labels(problem).inc()
    return MalformedResponseError(problem, received)
