"""What a caller of the system does."""

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
    """A plain service's answer to a booking."""

    status: int
    body: dict[str, Any]
    #: Whether the entry gave a stored answer.
    replayed: bool


class Caller:
    """Asks an entry which entries to use, then calls the first one."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def entries(self, known: str, domain: str) -> list[str]:
        """Returns the entries to use, best first."""
        url = f"http://{known}/v1/entries"
        query = {"failure_domain": domain}
        async with self._session.get(url, params=query) as response:
            answer = await response.json()
        return [entry["address"] for entry in answer["entries"]]

    async def wait_until_listed(self, known: str, count: int) -> None:
        """Waits until an entry lists `count` entries.

        An entry that has just started is listed once it knows the backend
        servers.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                if len(await self.entries(known, "")) == count:
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_healthy(self, entry: str, status: int) -> None:
        """Waits until `/healthz` of an entry answers with a status."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                if await self._health(entry) == status:
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_serving(self, entry: str, replicas: int) -> None:
        """Waits until a draft can run and a booking finds its service."""
        url = f"http://{entry}/v1/status"
        key = {"Authorization": f"Bearer {_files.OPERATOR_KEY}"}
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                async with self._session.get(url, headers=key) as response:
                    status = await response.json()
                if status["replicas"].get("serving", 0) >= replicas:
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def draft(self, entry: str, prompt: str, max_tokens: int) -> str:
        """Streams a draft and returns its text."""
        url = f"http://{entry}/v1/chat/completions"
        body = {
            "model": _files.MODEL,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": True,
        }
        parts: list[str] = []
        async with self._session.post(
            url, json=body, headers=HEADERS
        ) as response:
            response.raise_for_status()
            async for line in response.content:
                parts.append(_text_of(line.decode().strip()))
        return "".join(parts)

    async def book(self, entry: str, key: str, slot: str) -> Booking:
        """Books a slot under an idempotency key."""
        url = f"http://{entry}/v1/services/{_files.BOOKING}/slots"
        headers = {**HEADERS, "Idempotency-Key": key}
        async with self._session.post(
            url, json={"slot": slot}, headers=headers
        ) as response:
            replayed = response.headers.get("Idempotency-Replayed") == "true"
            return Booking(response.status, await response.json(), replayed)

    async def runs(self, service: str) -> dict[str, int]:
        """Asks the stand-in itself how often each key ran."""
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


def _text_of(line: str) -> str:
    if not line.startswith("data: {"):
        return ""
    chunk = json.loads(line.removeprefix("data: "))
    text: str = chunk["choices"][0]["delta"]["content"]
    return text
