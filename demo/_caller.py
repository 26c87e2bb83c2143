"""Client of the system's entries."""

import asyncio
import dataclasses
import json
from typing import Any

import aiohttp

from demo import _files

HEADERS = {"Authorization": f"Bearer {_files.ACCOUNT_KEY}"}
POLL_INTERVAL_S = 0.1
READY_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Booking:
    """A plain service's response to a booking request."""

    status: int
    body: dict[str, Any]
    #: Whether the entry returned a stored response.
    replayed: bool


class Caller:
    """Sends requests to entries over one HTTP session."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def entries(self, known_entry: str, failure_domain: str) -> list[str]:
        """Returns the entries that a caller in a failure domain should use.

        Args:
            known_entry: Entry that receives the request.
            failure_domain: Failure domain of the caller; may be empty.

        Returns:
            Addresses of entries, preferred ones first.
        """
        url = f"http://{known_entry}/v1/entries"
        query = {"failure_domain": failure_domain}
        async with self._session.get(url, params=query) as response:
            body = await response.json()
        return [entry["address"] for entry in body["entries"]]

    async def wait_until_listed(self, known_entry: str, count: int) -> None:
        """Waits until `known_entry` lists `count` entries.

        An entry that has just started is listed once it knows the backend
        servers.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                if len(await self.entries(known_entry, "")) == count:
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_healthy(self, entry: str, status: int) -> None:
        """Waits until `/healthz` of an entry responds with a status."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                if await self._health(entry) == status:
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_serving(self, entry: str, replicas: int) -> None:
        """Waits until an entry reports enough replicas in the state serving."""
        url = f"http://{entry}/v1/status"
        key = {"Authorization": f"Bearer {_files.OPERATOR_KEY}"}
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                async with self._session.get(url, headers=key) as response:
                    status = await response.json()
                if status["replicas"].get("serving", 0) >= replicas:
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def complete(self, entry: str, prompt: str, max_tokens: int) -> str:
        """Requests a streamed completion and returns its text."""
        url = f"http://{entry}/v1/chat/completions"
        body = {
            "model": _files.MODEL,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": True,
        }
        token_texts: list[str] = []
        async with self._session.post(
            url, json=body, headers=HEADERS
        ) as response:
            response.raise_for_status()
            async for line in response.content:
                token_texts.append(_token_text(line.decode().strip()))
        return "".join(token_texts)

    async def book(self, entry: str, key: str, slot: str) -> Booking:
        """Books a slot under an idempotency key."""
        url = f"http://{entry}/v1/services/{_files.BOOKING}/slots"
        headers = {**HEADERS, "Idempotency-Key": key}
        async with self._session.post(
            url, json={"slot": slot}, headers=headers
        ) as response:
            replayed = response.headers.get("Idempotency-Replayed") == "true"
            return Booking(response.status, await response.json(), replayed)

    async def run_counts(self, service: str) -> dict[str, int]:
        """Returns a stand-in service's number of runs by idempotency key."""
        url = f"http://{service}/runs"
        async with self._session.get(url) as response:
            counts: dict[str, int] = await response.json()
        return counts

    async def _health(self, entry: str) -> int:
        try:
            url = f"http://{entry}/healthz"
            async with self._session.get(url) as response:
                return response.status
        except aiohttp.ClientError:
            return 0


def _token_text(line: str) -> str:
    if not line.startswith("data: {"):
        return ""
    chunk = json.loads(line.removeprefix("data: "))
    text: str = chunk["choices"][0]["delta"]["content"]
    return text
