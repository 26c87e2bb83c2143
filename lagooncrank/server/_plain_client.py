"""HTTP client of plain services."""

import asyncio
import dataclasses

import aiohttp
import multidict

from lagooncrank.core import retry
from lagooncrank.server import _attempts
from lagooncrank.server import _bounded_http
from lagooncrank.server import _buffer_budget
from lagooncrank.server import _connection_end
from lagooncrank.server import _pools
from lagooncrank.server import _request_targets

#: Maximum body size of a response that an entry forwards.
MAX_RESPONSE_BYTES = _buffer_budget.MAX_BODY_BYTES

#: Headers that apply to one connection only, or that the entry sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "authorization", "connection", "content-length", "expect", "host",
        "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
        "trailer", "transfer-encoding", "upgrade",
    }
)  # fmt: skip


@dataclasses.dataclass(frozen=True, slots=True)
class PlainRequest:
    """Request of a caller to a plain service."""

    method: str
    #: Path and query below the service, encoded as the caller sent them.
    path_qs: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PlainResponse:
    """Complete response of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainClient:
    """Sends repeatable calls to backend servers of plain services."""

    def __init__(self, pools: _pools.ConnectionPools) -> None:
        self._pools = pools

    async def call(
        self, address: str, request: PlainRequest, timeout_ms: int
    ) -> PlainResponse:
        """Sends a call over a pooled connection and returns its response.

        The HTTP library may send the call again by itself, so the call must be
        repeatable.

        Raises:
            AttemptFailedError: No complete response was received.
        """
        try:
            async with self._pools.session(address) as session:
                return await _call(session, address, request, timeout_ms)
        except _attempts.AttemptFailedError as error:
            if error.failure.kind is retry.FailureKind.FIRST_BYTE_TIMEOUT:
                await self._pools.drop(address)
            raise


def end_to_end_headers(
    headers: multidict.CIMultiDictProxy[str],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers to forward.

    Drops `HOP_BY_HOP_HEADERS` and those that the Connection header names.
    """
    named = headers.get("Connection", "").lower().split(",")
    dropped = HOP_BY_HOP_HEADERS.union(name.strip() for name in named)
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in dropped
    )


async def _call(
    session: aiohttp.ClientSession,
    address: str,
    request: PlainRequest,
    timeout_ms: int,
) -> PlainResponse:
    url = _request_targets.url(address, request.path_qs)
    try:
        async with (
            asyncio.timeout(timeout_ms / 1_000),
            session.request(
                request.method,
                url,
                headers=multidict.CIMultiDict(request.headers),
                data=request.body or None,
                allow_redirects=False,
            ) as response,
        ):
            return await read_response(session, response)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        kind = retry.FailureKind.CONNECT_FAILED
        raise _failed(kind, error, bytes_written=False) from error
    except TimeoutError as error:
        raise _failed(retry.FailureKind.FIRST_BYTE_TIMEOUT, error) from error
    except _bounded_http.UnusableResponseError as error:
        raise _failed(retry.FailureKind.PROTOCOL_ERROR, error) from error
    except (aiohttp.ClientError, ConnectionError) as error:
        raise _failed(retry.FailureKind.CONNECTION_LOST, error) from error


async def read_response(
    session: aiohttp.ClientSession, response: aiohttp.ClientResponse
) -> PlainResponse:
    """Reads and returns a complete response.

    Raises:
        AttemptFailedError: The connection of the body was lost.
        ResponseTooLargeError: The body exceeds `MAX_RESPONSE_BYTES`.
    """
    body = await _bounded_http.read_body(response, MAX_RESPONSE_BYTES)
    if not _connection_end.is_body_complete(session, response):
        raise _attempts.AttemptFailedError(
            _attempts.AttemptFailure(
                retry.FailureKind.CONNECTION_LOST,
                "the connection was lost; only its end delimits the body",
                bytes_written=True,
            )
        )
    headers = end_to_end_headers(response.headers)
    return PlainResponse(response.status, headers, body)


def _failed(
    kind: retry.FailureKind, error: Exception, bytes_written: bool = True
) -> _attempts.AttemptFailedError:
    failure = _attempts.AttemptFailure(kind, repr(error), bytes_written)
    return _attempts.AttemptFailedError(failure)
