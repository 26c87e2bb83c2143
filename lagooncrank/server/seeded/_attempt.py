"""One attempt: sends a request to one backend server over HTTP."""

import collections
from collections.abc import AsyncIterator
import dataclasses
import enum
import socket
from typing import Any
from typing import Final

import aiohttp

from lagooncrank import observed_time
from lagooncrank.core import dispatch
from lagooncrank.server import _bounded_http
from lagooncrank.server import _connection_end
from lagooncrank.server import _library_retries
from lagooncrank.server import _observed_connector
from lagooncrank.server import _observed_timer
from lagooncrank.server import _request_targets
from lagooncrank.server import _sockets
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _send_context

#: Shorter than the usual keep-alive timeout of backend servers, so that no
#: request is sent on a connection that the server is closing.
KEEPALIVE_S: Final = 4.0
#: Callers allow a second for their whole attempt to be read.
CONNECT_TIMEOUT_MS: Final = 500
#: Errors of the HTTP library quote what the server sent.
MAX_DETAIL_CHARS: Final = 300

#: Refusals that are remembered; the oldest are forgotten beyond it.
MAX_REFUSALS: Final = 4_096
#: Statuses that promise callers that the request was not run. A server that
#: responds with one and does not state that as well may have run the request.
PROMISE_STATUSES: Final = frozenset({408, 421, 429, 503})

#: Headers that the client library would add by default.
_NO_AUTO_HEADERS: Final = (
    "Accept",
    "Accept-Encoding",
    "Content-Type",
    "User-Agent",
)


class FailureKind(enum.StrEnum):
    """Why an attempt yielded no response for the caller."""

    #: The connection was refused or timed out; nothing was sent.
    CONNECT = "connect_failed"
    #: The server states that it did not run the request.
    NOT_RUN = "not_run"
    #: The connection broke, or the response does not belong to the request.
    RESPONSE_LOST = "answer_lost"
    #: The server responded with an error status.
    SERVER_ERROR = "server_error"
    #: No response arrived in time.
    TIMED_OUT = "silent"
    #: The response exceeds a limit.
    TOO_LARGE = "response_too_large"


class ProbeOutcome(enum.StrEnum):
    """Outcome of a health check."""

    RESPONSE = "response"
    #: The connection was refused or lost.
    FAILURE = "failure"
    #: Nothing arrived in time; the server may only be busy.
    TIMEOUT = "timeout"


class AttemptFailedError(Exception):
    """An attempt yielded no response for the caller."""

    def __init__(
        self,
        failure: FailureKind,
        detail: str,
        *,
        received: str = "",
        is_disconnect: bool = False,
    ) -> None:
        self.failure = failure
        self.detail = detail[:MAX_DETAIL_CHARS]
        #: What the server sent that is no response, for the log; empty if that
        #: is not the failure. Unlike `detail`, callers never get it.
        self.received = received[:MAX_DETAIL_CHARS]
        #: Whether the server ended the connection while it ran the request.
        self.is_disconnect = is_disconnect
        #: Head of the response, if it is for this request. What it says of its
        #: server holds, although the caller does not get it.
        self.head: _adapter.ResponseHead | None = None
        super().__init__(f"{failure}: {self.detail}")

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have run the request."""
        return self.failure not in (FailureKind.CONNECT, FailureKind.NOT_RUN)


@dataclasses.dataclass(slots=True)
class BackendResponse:
    """Head of a response, and its body as it arrives."""

    head: _adapter.ResponseHead
    response: aiohttp.ClientResponse
    session: aiohttp.ClientSession

    async def body(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            AttemptFailedError: The body ended early.
        """
        try:
            async for chunk in _bounded_http.read_chunks(self.response):
                yield chunk
        except _bounded_http.UnusableResponseError as error:
            raise _unusable(error) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise AttemptFailedError(
                FailureKind.RESPONSE_LOST, repr(error), is_disconnect=True
            ) from error
        if not _connection_end.is_body_complete(self.session, self.response):
            raise AttemptFailedError(
                FailureKind.RESPONSE_LOST,
                "the connection was lost; only its end delimits the body",
                is_disconnect=True,
            )

    @property
    def length(self) -> int | None:
        """Length of the body; None if the response does not state it."""
        return self.response.content_length

    @property
    def is_framed(self) -> bool:
        """Whether the end of the body shows without that of the connection."""
        headers = self.response.headers
        return "Content-Length" in headers or "Transfer-Encoding" in headers

    def continues(self, first: "BackendResponse") -> bool:
        """Returns whether this may go on with the body of another response."""
        return (
            self.head.status == first.head.status
            and self.response.content_type == first.response.content_type
        )

    def close(self) -> None:
        """Closes the connection unless the whole body was read."""
        self.response.close()

    def abort(self) -> None:
        """Aborts the connection, even if the whole body was read."""
        assert isinstance(self.response, _connection_end.ClientResponse)
        self.response.abort()

    def release(self) -> None:
        """Returns the connection to the pool."""
        self.response.release()


class BackendClient:
    """HTTP client with a pool of connections to backend servers."""

    def __init__(
        self,
        codec: _adapter.HttpCodec,
        observed_clock: observed_time.ObservedClock,
        source_ip: str = "",
    ) -> None:
        self._codec = codec
        self._observed_clock = observed_clock
        #: Local address of new connections; empty for the kernel's choice.
        self.source_ip = source_ip
        self._session: aiohttp.ClientSession | None = None
        #: Session without a pool: each request has a connection of its own.
        self._single_session: aiohttp.ClientSession | None = None
        #: Address and attempt id of the last requests that were refused.
        self._refused: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )
        self._connector: _bounded_http.BoundedConnector | None = None

    async def start(self) -> None:
        """Opens the client sessions."""
        self._connector = self._create_connector(keepalive_timeout=KEEPALIVE_S)
        self._session = self._open_session(self._connector)
        single_connector = self._create_connector(force_close=True)
        self._single_session = self._open_session(single_connector)

    def _create_connector(
        self, **options: Any
    ) -> _observed_connector.ObservedConnector:
        return _observed_connector.ObservedConnector(
            self._observed_clock,
            CONNECT_TIMEOUT_MS,
            limit=0,
            socket_factory=self._create_socket,
            **options,
        )

    def _open_session(
        self, connector: _bounded_http.BoundedConnector
    ) -> aiohttp.ClientSession:
        return _bounded_http.open_session(
            connector,
            # The connector limits the time for a connection.
            aiohttp.ClientTimeout(total=None, sock_connect=None),
            skip_auto_headers=_NO_AUTO_HEADERS,
            middlewares=(_library_retries.send_once,),
            trace_configs=(_send_context.trace_config(),),
        )

    def close_idle_connections(self) -> None:
        """Closes the connections in the pool, which may be dead by now."""
        if self._connector is not None:
            self._connector.close_idle()

    async def probe(
        self, address: str, path: str, timeout_ms: int
    ) -> ProbeOutcome:
        """Returns how a server responds to a request on a new connection.

        Args:
            address: Address of the server, "ip:port".
            path: Path of the server's health check.
            timeout_ms: Limit of the whole probe, in observed time.
        """
        assert self._single_session is not None
        url = _request_targets.url(address, path)
        try:
            async with (
                _observed_timer.timeout(self._observed_clock, timeout_ms),
                self._single_session.get(url, allow_redirects=False),
            ):
                return ProbeOutcome.RESPONSE
        except TimeoutError:
            return ProbeOutcome.TIMEOUT
        except (aiohttp.ClientError, OSError, ValueError):
            # The caller counts and logs what the outcome means.
            return ProbeOutcome.FAILURE

    def _create_socket(self, address_info: tuple[Any, ...]) -> socket.socket:
        return _sockets.client_socket(address_info, self.source_ip)

    async def stop(self) -> None:
        """Closes all connections."""
        for session in (self._session, self._single_session):
            if session is not None:
                await session.close()

    async def open(
        self,
        target: dispatch.Target,
        request_head: _adapter.RequestHead,
        metadata: _adapter.ForwardingMetadata,
        body: bytes,
        *,
        added_headers: _adapter.Headers = (),
        context: _send_context.SendContext | None = None,
    ) -> BackendResponse:
        """Sends a request and waits for the head of its response.

        Args:
            target: Where to send it.
            request_head: The request.
            metadata: Metadata that the codec encodes as headers.
            body: Body of the request.
            added_headers: Further headers.
            context: Is told whether a connection is opened for the request;
                may prevent that it is sent then.

        Raises:
            AttemptFailedError: No valid response to this request arrived.
        """
        session = self._choose_session(target, request_head)
        try:
            response = await session.request(
                request_head.method,
                _request_targets.url(target.address, request_head.target),
                headers=(
                    *self._codec.backend_request_headers(
                        request_head, metadata
                    ),
                    *added_headers,
                ),
                data=_guarded(body, context),
                allow_redirects=False,
                trace_request_ctx=context,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise AttemptFailedError(FailureKind.CONNECT, str(error)) from error
        except _bounded_http.UnusableResponseError as error:
            raise _unusable(error) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            if context is not None and context.prevented is not None:
                raise context.prevented from error
            raise AttemptFailedError(
                FailureKind.RESPONSE_LOST, repr(error), is_disconnect=True
            ) from error
        headers = tuple((n, v) for n, v in response.headers.items())
        head = self._codec.decode_response(response.status, headers)
        backend_response = BackendResponse(head, response, session)
        try:
            _check_owner(head, request_head)
            try:
                _check(head)
                if not target.is_entry:
                    check_promise(head)
            except AttemptFailedError as error:
                error.head = head
                raise
        except AttemptFailedError as error:
            if error.failure is FailureKind.RESPONSE_LOST:
                # The responses to later requests would be taken for others.
                backend_response.abort()
            backend_response.close()
            if error.failure is FailureKind.NOT_RUN:
                self._record_refusal(target, request_head)
            raise
        return backend_response

    def _choose_session(
        self, target: dispatch.Target, request_head: _adapter.RequestHead
    ) -> aiohttp.ClientSession:
        """Returns the session for a request.

        A faulty server may send an earlier response once more. On a kept
        connection only the attempt id tells which request a response is for, so
        a request that has none, or that was refused there before under the same
        id, has a connection of its own.
        """
        assert self._session is not None
        assert self._single_session is not None
        key = (target.address, request_head.attempt_id)
        if not request_head.attempt_id or key in self._refused:
            return self._single_session
        return self._session

    def _record_refusal(
        self, target: dispatch.Target, request_head: _adapter.RequestHead
    ) -> None:
        self._refused[target.address, request_head.attempt_id] = None
        while len(self._refused) > MAX_REFUSALS:
            self._refused.popitem(last=False)


def _guarded(
    body: bytes, context: _send_context.SendContext | None
) -> bytes | aiohttp.BytesPayload | None:
    """Returns a body that is written only while its request may be sent."""
    if not body or context is None or context.check_before_send is None:
        return body or None
    return _send_context.GuardedBody(body, context)


def _unusable(
    error: _bounded_http.UnusableResponseError,
) -> AttemptFailedError:
    """Returns the failure of an attempt whose response is not used."""
    if isinstance(error, _bounded_http.MalformedResponseError):
        return AttemptFailedError(
            FailureKind.RESPONSE_LOST, str(error), received=error.received
        )
    return AttemptFailedError(FailureKind.TOO_LARGE, str(error))


def _check_owner(
    head: _adapter.ResponseHead, request_head: _adapter.RequestHead
) -> None:
    """Checks that a response belongs to its request.

    Raises:
        AttemptFailedError: It does not.
    """
    if request_head.attempt_id and head.attempt_id != request_head.attempt_id:
        raise AttemptFailedError(
            FailureKind.RESPONSE_LOST,
            "the response is for another attempt",
            received=f"attempt id {head.attempt_id!r}",
        )


def _check(head: _adapter.ResponseHead) -> None:
    """Checks that a response may be relayed.

    Raises:
        AttemptFailedError: It must not, or states that nothing was run.
    """
    if head.is_not_run:
        raise AttemptFailedError(FailureKind.NOT_RUN, str(head.status))
    if head.is_contradictory:
        raise AttemptFailedError(
            FailureKind.RESPONSE_LOST,
            f"{head.status} with the statement that nothing was run",
        )
    if head.status < _adapter.FIRST_ERROR_STATUS and not head.is_signed:
        raise AttemptFailedError(
            FailureKind.RESPONSE_LOST, "the response has no signature"
        )
    if head.is_encoded:
        raise AttemptFailedError(
            FailureKind.RESPONSE_LOST, "the body is encoded"
        )


def check_promise(head: _adapter.ResponseHead) -> None:
    """Checks that a server's response promises callers nothing that is unknown.

    Raises:
        AttemptFailedError: Its status says that the request was not run, and
            the server does not state this.
    """
    if head.status in PROMISE_STATUSES:
        raise AttemptFailedError(
            FailureKind.SERVER_ERROR,
            f"{head.status} without the statement that nothing was run",
        )
