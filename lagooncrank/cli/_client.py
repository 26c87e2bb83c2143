"""HTTP client for the operators' interface of the entries."""

from collections.abc import Sequence
import dataclasses
import json
from typing import Any

import aiohttp

from lagooncrank import results
from lagooncrank.server import _bounded_http

#: Longest wait for one response of one entry.
RESPONSE_TIMEOUT_S = 10.0
#: Longest wait for a connection to one entry.
CONNECT_TIMEOUT_S = 2.0

#: Refusals after which the next entry may still answer.
_RETRY_AT_NEXT_ENTRY = frozenset(
    {
        results.ResultCode.NO_QUORUM,
        results.ResultCode.NOT_LEADER,
        results.ResultCode.PROPOSAL_LOST,
        results.ResultCode.PEER_SILENT,
        results.ResultCode.STOPPING,
        results.ResultCode.CONFIGURATION_STALE,
    }
)
_CODES = {code.value: code for code in results.ResultCode}


class OperatorClient:
    """Sends each request to the first entry that can answer it.

    Requests that change something carry a change id or are idempotent, so
    after a lost response it is safe to send one to the next entry.
    """

    def __init__(self, entries: Sequence[str], key: str) -> None:
        self._entries = tuple(entries)
        self._headers = {"Authorization": f"Bearer {key}"}
        self._timeout = aiohttp.ClientTimeout(
            total=RESPONSE_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )

    async def get(self, path: str) -> Any:
        """Returns the body of a `GET`.

        Raises:
            LagooncrankError: Every entry refused or failed.
        """
        return await self._request("GET", path, None)

    async def post(self, path: str, body: Any) -> Any:
        """Returns the body of a `POST`.

        Raises:
            LagooncrankError: Every entry refused or failed.
        """
        return await self._request("POST", path, body)

    async def delete(self, path: str) -> Any:
        """Returns the body of a `DELETE`.

        Raises:
            LagooncrankError: Every entry refused or failed.
        """
        return await self._request("DELETE", path, None)

    async def _request(self, method: str, path: str, body: Any) -> Any:
        failures: list[_Failure] = []
        async with _bounded_http.open_session(
            _bounded_http.BoundedConnector(),
            self._timeout,
            headers=self._headers,
        ) as session:
            for entry in self._entries:
                response = await self._send_to_entry(
                    session, entry, method, path, body
                )
                if not isinstance(response, _Failure):
                    return response.body
                failures.append(response)
                if response.refusal.code not in _RETRY_AT_NEXT_ENTRY | {
                    results.ResultCode.CONNECT_FAILED
                }:
                    break
        raise results.LagooncrankError(_combine_failures(failures))

    async def _send_to_entry(
        self,
        session: aiohttp.ClientSession,
        entry: str,
        method: str,
        path: str,
        body: Any,
    ) -> "_Response | _Failure":
        url = f"http://{entry}{path}"
        try:
            async with session.request(method, url, json=body) as response:
                text = await response.text()
                status = response.status
        except aiohttp.ClientConnectorError as error:
            cause = error.os_error.strerror or str(error.os_error)
            return _unreachable(entry, f"cannot connect: {cause}")
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return _response_lost(entry, method, error)
        return _read_response(entry, status, text)


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    body: Any


@dataclasses.dataclass(frozen=True, slots=True)
class _Failure:
    entry: str
    refusal: results.Refusal


def _unreachable(entry: str, problem: str) -> _Failure:
    return _Failure(
        entry,
        results.Refusal(results.ResultCode.CONNECT_FAILED, problem),
    )


def _response_lost(entry: str, method: str, error: Exception) -> _Failure:
    problem = f"{type(error).__name__}: {error}"
    if method == "GET":
        return _unreachable(entry, problem)
    return _Failure(
        entry,
        results.Refusal(
            results.ResultCode.PROPOSAL_LOST,
            f"the response was lost ({problem})",
            results.ExecutionStatus.UNKNOWN,
        ),
    )


def _read_response(entry: str, status: int, text: str) -> _Response | _Failure:
    try:
        body = json.loads(text)
    except ValueError:
        return _unreachable(entry, f"HTTP {status} without a JSON body")
    if status < 400:
        return _Response(body)
    try:
        code = _CODES[body["code"]]
        reason = str(body["reason"])
    except (KeyError, TypeError):
        return _unreachable(entry, f"HTTP {status} without a result code")
    return _Failure(entry, results.Refusal(code, reason))


def _combine_failures(failures: Sequence[_Failure]) -> results.Refusal:
    """Merges failures into one refusal; an unknown outcome takes precedence."""
    decisive = failures[-1]
    for failure in failures:
        if failure.refusal.code is results.ResultCode.PROPOSAL_LOST:
            decisive = failure
    reasons = "; ".join(f"{f.entry}: {f.refusal.reason}" for f in failures)
    return dataclasses.replace(decisive.refusal, reason=reasons)
