"""Client of plain services."""

import asyncio
import dataclasses

import aiohttp
import multidict
import yarl

from lagooncrank.core import retry
from lagooncrank.server import _attempts
from lagooncrank.server import _pools

#: Longest answer that an entry passes on.
MAX_ANSWER_BYTES = 8_388_608

#: Headers that concern one connection only, or that the entry sets itself.
HOP_HEADERS = frozenset(
    {
        "authorization", "connection", "content-length", "expect", "host",
        "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
        "trailer", "transfer-encoding", "upgrade",
    }
)  # fmt: skip


@dataclasses.dataclass(frozen=True, slots=True)
class PlainRequest:
    """A caller's call of a plain service."""

    method: str
    #: Path and query below the service, encoded as the caller sent them.
    path_qs: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PlainAnswer:
    """A plain service's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainClient:
    """Sends calls to backend servers of plain services."""

    def __init__(self, pools: _pools.ConnectionPools) -> None:
        self._pools = pools

    async def call(
        self, address: str, request: PlainRequest, timeout_ms: int
    ) -> PlainAnswer:
        """Sends a call that may be repeated, over a kept connection.

        Raises:
            AttemptFailedError: There is no whole answer.
        """
        try:
            async with self._pools.session(address) as session:
                return await _call(session, address, request, timeout_ms)
        except _attempts.AttemptFailedError as error:
            if error.failure.kind is retry.FailureKind.FIRST_BYTE_TIMEOUT:
                await self._pools.drop(address)
            raise


def end_to_end(
    headers: multidict.CIMultiDictProxy[str],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers that are passed on."""
    named = headers.get("Connection", "").lower().split(",")
    dropped = HOP_HEADERS.union(name.strip() for name in named)
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
) -> PlainAnswer:
    url = yarl.URL(f"http://{address}{request.path_qs}", encoded=True)
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
            return await whole(response)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        kind = retry.FailureKind.CONNECT_FAILED
        raise _failed(kind, error, bytes_written=False) from error
    except TimeoutError as error:
        raise _failed(retry.FailureKind.FIRST_BYTE_TIMEOUT, error) from error
    except (aiohttp.ClientError, ConnectionError) as error:
        raise _failed(retry.FailureKind.CONNECTION_LOST, error) from error


async def whole(response: aiohttp.ClientResponse) -> PlainAnswer:
    """Returns the whole answer.

    Raises:
        AttemptFailedError: The answer is too long.
    """
    body = bytearray()
    async for data in response.content.iter_any():
        body += data
        if len(body) > MAX_ANSWER_BYTES:
            raise _attempts.AttemptFailedError(
                _attempts.AttemptFailure(
                    retry.FailureKind.PROTOCOL_ERROR,
                    f"the answer is over {MAX_ANSWER_BYTES} bytes",
                    bytes_written=True,
                )
            )
    headers = end_to_end(response.headers)
    return PlainAnswer(response.status, headers, bytes(body))


def _failed(
    kind: retry.FailureKind, error: Exception, bytes_written: bool = True
) -> _attempts.AttemptFailedError:
    failure = _attempts.AttemptFailure(kind, repr(error), bytes_written)
    return _attempts.AttemptFailedError(failure)
