"""Sends each call over a new connection and never a second time."""

import asyncio
from collections.abc import Callable
import contextlib
import socket
from types import SimpleNamespace
from typing import Any

import aiohttp
import multidict

from lagooncrank import observed_time
from lagooncrank.core import retry
from lagooncrank.server import _attempts
from lagooncrank.server import _bounded_http
from lagooncrank.server import _observed_connector
from lagooncrank.server import _plain_client
from lagooncrank.server import _pools
from lagooncrank.server import _request_targets
from lagooncrank.server import _sockets


class SecondConnectionError(Exception):
    """Raised to prevent the HTTP library from sending a call again."""


class _Connection:
    """Allows and observes the only connection of one call.

    The HTTP library repeats PUT, DELETE and GET by itself when a connection
    closes without a response, even a new one. A second connection is therefore
    refused.
    """

    def __init__(
        self,
        observed_clock: observed_time.ObservedClock,
        before_write: Callable[[], None],
    ) -> None:
        self._observed_clock = observed_clock
        self._before_write = before_write
        self._opened = False
        self._sockets: list[socket.socket] = []
        #: Whether any byte of the request may have reached the server.
        self.may_have_written = False

    def session(self) -> aiohttp.ClientSession:
        """Returns a session for one call."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_start.append(self._on_create_start)
        trace.on_connection_create_end.append(self._on_create_end)
        connector = _observed_connector.ObservedConnector(
            self._observed_clock,
            _pools.CONNECT_TIMEOUT_MS,
            force_close=True,
            socket_factory=self._new_socket,
            happy_eyeballs_delay=None,
        )
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=None)
        return _bounded_http.open_session(
            connector, timeout, trace_configs=[trace]
        )

    def shut_down(self) -> None:
        """Shuts the socket down at once, even if the library still uses it."""
        for sock in self._sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _new_socket(self, address_info: tuple[Any, ...]) -> socket.socket:
        sock = _sockets.client_socket(address_info)
        self._sockets.append(sock)
        return sock

    async def _on_create_start(
        self,
        _session: aiohttp.ClientSession,
        _context: SimpleNamespace,
        _params: aiohttp.TraceConnectionCreateStartParams,
    ) -> None:
        if self._opened:
            raise SecondConnectionError
        self._opened = True

    async def _on_create_end(
        self,
        _session: aiohttp.ClientSession,
        _context: SimpleNamespace,
        _params: aiohttp.TraceConnectionCreateEndParams,
    ) -> None:
        self._before_write()
        self.may_have_written = True


class AtMostOnceClient:
    """Sends calls that must run at most once."""

    def __init__(self, observed_clock: observed_time.ObservedClock) -> None:
        self._observed_clock = observed_clock

    async def send(
        self,
        address: str,
        request: _plain_client.PlainRequest,
        timeout_ms: int,
        before_write: Callable[[], None],
    ) -> _plain_client.PlainResponse:
        """Sends a call and returns its complete response.

        Args:
            address: Address of the backend server.
            request: The call.
            timeout_ms: Maximum wait for the complete response.
            before_write: Called when the connection is established and before
                the first byte is written; if it raises, nothing is sent and
                the exception propagates.

        Raises:
            AttemptFailedError: No complete response was received; states
                whether any byte may have been written.
        """
        connection = _Connection(self._observed_clock, before_write)
        try:
            async with (
                asyncio.timeout(timeout_ms / 1_000),
                connection.session() as session,
            ):
                return await _send(session, address, request)
        except (
            aiohttp.ClientError,
            OSError,
            SecondConnectionError,
            ValueError,
        ) as error:
            written = connection.may_have_written
            raise _failed(error, written) from error
        finally:
            connection.shut_down()


async def _send(
    session: aiohttp.ClientSession,
    address: str,
    request: _plain_client.PlainRequest,
) -> _plain_client.PlainResponse:
    url = _request_targets.url(address, request.path_qs)
    async with session.request(
        request.method,
        url,
        headers=multidict.CIMultiDict(request.headers),
        data=request.body or None,
        allow_redirects=False,
    ) as response:
        return await _plain_client.read_response(session, response)


def _failed(error: Exception, written: bool) -> _attempts.AttemptFailedError:
    kind = retry.FailureKind.CONNECTION_LOST
    if not written:
        kind = retry.FailureKind.CONNECT_FAILED
    elif isinstance(error, _bounded_http.UnusableResponseError):
        kind = retry.FailureKind.PROTOCOL_ERROR
    elif isinstance(error, TimeoutError):
        kind = retry.FailureKind.FIRST_BYTE_TIMEOUT
    failure = _attempts.AttemptFailure(kind, repr(error), written)
    return _attempts.AttemptFailedError(failure)
