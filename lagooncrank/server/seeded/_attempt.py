"""One send of a request to one backend server."""

from collections.abc import AsyncIterator
import dataclasses
import enum
from typing import Final

import aiohttp
import yarl

from lagooncrank.core import dispatch
from lagooncrank.server import _sockets
from lagooncrank.server.seeded import _wire

#: Idle connections are closed before backend servers usually close them.
KEEPALIVE_S: Final = 4.0
CONNECT_TIMEOUT_S: Final = 1.0
MAX_LINE_BYTES: Final = 65_536

#: Lines that the client library would add by itself.
_NO_AUTO_HEADERS: Final = (
    "Accept",
    "Accept-Encoding",
    "Content-Type",
    "User-Agent",
)


class Failure(enum.StrEnum):
    """Why an attempt gave no answer that can be returned."""

    #: The connection was refused or not made in time; nothing was sent.
    CONNECT = "connect_failed"
    #: The server states that it did not run the request.
    NOT_RUN = "not_run"
    #: The connection ended, or the answer is not one to this request.
    LOST = "answer_lost"
    #: The answer was the server's own error.
    SERVER_ERROR = "server_error"
    #: No answer came in time.
    SILENT = "silent"


class AttemptFailedError(Exception):
    """An attempt gave no answer that can be returned."""

    def __init__(self, failure: Failure, detail: str) -> None:
        self.failure = failure
        self.detail = detail
        super().__init__(f"{failure}: {detail}")

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have run the request."""
        return self.failure not in (Failure.CONNECT, Failure.NOT_RUN)


@dataclasses.dataclass(slots=True)
class Answer:
    """The head of an answer and its body as it arrives."""

    head: _wire.ResponseHead
    response: aiohttp.ClientResponse

    async def body(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            AttemptFailedError: The body ended early.
        """
        try:
            async for chunk in self.response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise AttemptFailedError(Failure.LOST, repr(error)) from error
        if self.is_close_delimited:
            # The library does not tell a reset from the regular end.
            raise AttemptFailedError(Failure.LOST, "the end is not marked")

    @property
    def length(self) -> int | None:
        """Length of the body if it is stated."""
        return self.response.content_length

    @property
    def is_close_delimited(self) -> bool:
        """Whether only the end of the connection ends the body."""
        headers = self.response.headers
        is_framed = "Content-Length" in headers
        return not is_framed and "Transfer-Encoding" not in headers

    def close(self) -> None:
        """Ends the connection unless the body was read to its end."""
        self.response.close()

    def release(self) -> None:
        """Gives the connection back to be used again."""
        self.response.release()


class BackendClient:
    """Connections to backend servers, kept for further requests."""

    def __init__(self, codec: _wire.HttpCodec) -> None:
        self._codec = codec
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Makes the client ready."""
        connector = aiohttp.TCPConnector(
            limit=0,
            keepalive_timeout=KEEPALIVE_S,
            socket_factory=_sockets.client_socket,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=_NO_AUTO_HEADERS,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S
            ),
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
        )

    async def stop(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def open(
        self,
        target: dispatch.Target,
        call: _wire.RequestHead,
        marks: _wire.ForwardingMetadata,
        body: bytes,
    ) -> Answer:
        """Sends a request and waits for the head of its answer.

        Raises:
            AttemptFailedError: No answer to this request came.
        """
        assert self._session is not None
        try:
            response = await self._session.request(
                call.method,
                yarl.URL(f"http://{target.address}{call.target}", encoded=True),
                headers=self._codec.send_headers(call, marks),
                data=body or None,
                allow_redirects=False,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise AttemptFailedError(Failure.CONNECT, str(error)) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise AttemptFailedError(Failure.LOST, repr(error)) from error
        headers = tuple((n, v) for n, v in response.headers.items())
        head = self._codec.read_answer(response.status, headers)
        answer = Answer(head, response)
        try:
            self._check(head, call)
        except AttemptFailedError:
            answer.close()
            raise
        return answer

    def _check(self, head: _wire.ResponseHead, call: _wire.RequestHead) -> None:
        """Makes sure that an answer is one to this request."""
        if call.attempt_id and head.attempt_id != call.attempt_id:
            raise AttemptFailedError(
                Failure.LOST, f"the answer is to {head.attempt_id!r}"
            )
        if head.is_not_run:
            raise AttemptFailedError(Failure.NOT_RUN, str(head.status))
        if head.status < _wire.FIRST_ERROR_STATUS and not head.is_signed:
            raise AttemptFailedError(Failure.LOST, "the answer is not signed")
        if head.is_encoded:
            raise AttemptFailedError(Failure.LOST, "the body is encoded")
