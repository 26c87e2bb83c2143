"""Talks HTTP to any entry of the system."""

from collections.abc import Sequence
import dataclasses
import json
from typing import Any

import aiohttp

from lagooncrank import results

#: Longest wait for one answer of one entry.
ANSWER_TIMEOUT_S = 10.0
#: Longest wait for a connection to one entry.
CONNECT_TIMEOUT_S = 2.0

#: Refusals after which another entry may still answer.
_TRY_ANOTHER = frozenset(
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
    """Sends a request to the first entry that can answer it.

    Requests that change something carry a change id or are idempotent, so
    sending one to a second entry after a lost answer is safe.
    """

    def __init__(self, entries: Sequence[str], key: str) -> None:
        self._entries = tuple(entries)
        self._headers = {"Authorization": f"Bearer {key}"}
        self._timeout = aiohttp.ClientTimeout(
            total=ANSWER_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
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
        async with aiohttp.ClientSession(
            headers=self._headers, timeout=self._timeout
        ) as session:
            for entry in self._entries:
                answer = await self._ask(session, entry, method, path, body)
                if not isinstance(answer, _Failure):
                    return answer.body
                failures.append(answer)
                if answer.refusal.code not in _TRY_ANOTHER | {
                    results.ResultCode.CONNECT_FAILED
                }:
                    break
        raise results.LagooncrankError(_sum_up(failures))

    async def _ask(
        self,
        session: aiohttp.ClientSession,
        entry: str,
        method: str,
        path: str,
        body: Any,
    ) -> "_Answer | _Failure":
        url = f"http://{entry}{path}"
        try:
            async with session.request(method, url, json=body) as response:
                text = await response.text()
                status = response.status
        except aiohttp.ClientConnectorError as error:
            cause = error.os_error.strerror or str(error.os_error)
            return _unreachable(entry, f"cannot connect: {cause}")
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return _answer_lost(entry, method, error)
        return _read_answer(entry, status, text)


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
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


def _answer_lost(entry: str, method: str, error: Exception) -> _Failure:
    problem = f"{type(error).__name__}: {error}"
    if method == "GET":
        return _unreachable(entry, problem)
    return _Failure(
        entry,
        results.Refusal(
            results.ResultCode.PROPOSAL_LOST,
            f"the answer was lost ({problem})",
            results.ExecutionStatus.UNKNOWN,
        ),
    )


def _read_answer(entry: str, status: int, text: str) -> _Answer | _Failure:
    try:
        body = json.loads(text)
    except ValueError:
        return _unreachable(entry, f"answered {status} without JSON")
    if status < 400:
        return _Answer(body)
    try:
        code = _CODES[body["code"]]
        reason = str(body["reason"])
    except (KeyError, TypeError):
        return _unreachable(entry, f"answered {status} without a result code")
    return _Failure(entry, results.Refusal(code, reason))


def _sum_up(failures: Sequence[_Failure]) -> results.Refusal:
    """Returns one refusal for all; an unknown outcome outweighs the rest."""
    last = failures[-1]
    for failure in failures:
        if failure.refusal.code is results.ResultCode.PROPOSAL_LOST:
            last = failure
    reasons = "; ".join(f"{f.entry}: {f.refusal.reason}" for f in failures)
    return dataclasses.replace(last.refusal, reason=reasons)
