"""Callers of the failure drill, and the results that they received."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import enum
import json
import random

import aiohttp

from bench import _drill_cluster
from lagooncrank import results
from standins import _tokens

COMPLETION_TOKENS = 120
COMPLETION_TIMEOUT_S = 20.0
BOOKING_TIMEOUT_S = 15.0
#: Attempts at one booking before its caller gives up.
MAX_BOOKING_ATTEMPTS = 12
RETRY_PAUSE_S = 0.5
#: Age at which a caller refreshes its list of entries.
ENTRY_LIST_LIFETIME_S = _drill_cluster.ENTRY_LIST_LIFETIME_MS / 1_000


class CompletionOutcome(enum.StrEnum):
    """How a completion ended for its caller."""

    COMPLETE = "whole"
    CORRUPTED = "wrong"
    REFUSED = "refused"
    FAILED_MIDWAY = "failed_midway"
    CONNECTION_LOST = "connection_lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """One completion as its caller observed it."""

    entry: str
    outcome: CompletionOutcome
    #: Result code of a refusal or error; 0 if there was none.
    code: int
    #: Times since the start of the drill.
    start_ms: int
    end_ms: int


@dataclasses.dataclass(slots=True)
class Booking:
    """Results that the caller of one booking received over all attempts."""

    key: str
    attempts: int = 0
    booked: bool = False
    #: Execution status that the newest attempt reported.
    last_status: results.ExecutionStatus = results.ExecutionStatus.NOT_RUN
    #: Whether every attempt so far reported that it did not run.
    known_not_run: bool = True
    codes: list[int] = dataclasses.field(default_factory=list)


class EntryList:
    """List of entries that one caller uses, refreshed periodically."""

    def __init__(
        self, known_entries: tuple[str, ...], session: aiohttp.ClientSession
    ) -> None:
        self._known_entries = known_entries
        self._session = session
        self._entries = list(known_entries)
        self._refresh_at_s = 0.0

    async def choose(self, rng: random.Random) -> str:
        """Returns a random entry, after a refresh if the list is too old."""
        now_s = asyncio.get_running_loop().time()
        if now_s >= self._refresh_at_s:
            await self._refresh(rng)
            self._refresh_at_s = now_s + ENTRY_LIST_LIFETIME_S
        return rng.choice(self._entries)

    def drop(self, entry: str) -> None:
        """Removes an entry whose request failed, unless it is the only one."""
        if entry in self._entries and len(self._entries) > 1:
            self._entries.remove(entry)

    async def _refresh(self, rng: random.Random) -> None:
        for entry in rng.sample(self._known_entries, len(self._known_entries)):
            url = f"http://{entry}/v1/entries"
            timeout = aiohttp.ClientTimeout(total=1.0)
            try:
                async with self._session.get(url, timeout=timeout) as response:
                    body = await response.json()
            except (aiohttp.ClientError, TimeoutError):
                continue
            addresses = [row["address"] for row in body.get("entries", ())]
            if addresses:
                self._entries = addresses
                return


class Callers:
    """Sends completions and bookings, sequentially within each task."""

    def __init__(
        self,
        cluster: _drill_cluster.DrillCluster,
        session: aiohttp.ClientSession,
    ) -> None:
        self._cluster = cluster
        self._session = session
        self._stopping = False
        self.completions: list[Completion] = []
        self.bookings: list[Booking] = []

    def stop(self) -> None:
        """Makes every task return after its current request."""
        self._stopping = True

    async def send_completions(self, seed: int) -> None:
        """Streams completions until `stop` is called."""
        rng = random.Random(seed)
        entries = EntryList(self._cluster.entries, self._session)
        number = 0
        while not self._stopping:
            number += 1
            entry = await entries.choose(rng)
            completion = await self._request_completion(
                entry, f"draft {seed}-{number}"
            )
            self.completions.append(completion)
            if completion.outcome is not CompletionOutcome.COMPLETE:
                entries.drop(entry)
                await asyncio.sleep(RETRY_PAUSE_S)

    async def send_bookings(self, seed: int, pause_s: float) -> None:
        """Makes bookings until `stop` is called.

        A booking is attempted until it succeeds, at most
        `MAX_BOOKING_ATTEMPTS` times.
        """
        rng = random.Random(seed)
        entries = EntryList(self._cluster.entries, self._session)
        number = 0
        while not self._stopping:
            number += 1
            booking = Booking(f"visit-{seed}-{number}")
            self.bookings.append(booking)
            while (
                booking.attempts < MAX_BOOKING_ATTEMPTS and not booking.booked
            ):
                entry = await entries.choose(rng)
                await self._book(entry, booking)
                if not booking.booked:
                    entries.drop(entry)
                    await asyncio.sleep(RETRY_PAUSE_S)
            await asyncio.sleep(pause_s)

    async def _request_completion(self, entry: str, prompt: str) -> Completion:
        start_ms = self._cluster.now_ms()
        text: list[str] = []
        code = 0
        try:
            async with asyncio.timeout(COMPLETION_TIMEOUT_S):
                async for part in self._stream(entry, prompt):
                    if isinstance(part, int):
                        code = part
                    else:
                        text.append(part)
            outcome = _classify(prompt, "".join(text), code)
        except (aiohttp.ClientError, TimeoutError):
            outcome = CompletionOutcome.CONNECTION_LOST
        return Completion(
            entry, outcome, code, start_ms, self._cluster.now_ms()
        )

    async def _stream(
        self, entry: str, prompt: str
    ) -> AsyncIterator[str | int]:
        """Yields the text of each event, or the code of a refusal or error."""
        body = {
            "model": _drill_cluster.MODEL,
            "prompt": prompt,
            "max_tokens": COMPLETION_TOKENS,
            "stream": True,
        }
        url = f"http://{entry}/v1/completions"
        headers = _drill_cluster.ACCOUNT_HEADERS
        async with self._session.post(
            url, json=body, headers=headers
        ) as response:
            if response.status != 200:
                yield int((await response.json(content_type=None))["code"])
                return
            failed = False
            async for raw in response.content:
                line = raw.decode().strip()
                failed = failed or line == "event: error"
                if line.startswith("data: {"):
                    data = json.loads(line.removeprefix("data: "))
                    yield (int(data["code"]) if failed else _chunk_text(data))

    async def _book(self, entry: str, booking: Booking) -> None:
        booking.attempts += 1
        url = (
            f"http://{entry}/v1/services/{_drill_cluster.BOOKING_SERVICE}/slots"
        )
        headers = _drill_cluster.ACCOUNT_HEADERS | {
            "Idempotency-Key": booking.key
        }
        timeout = aiohttp.ClientTimeout(total=BOOKING_TIMEOUT_S)
        try:
            async with self._session.post(
                url,
                json={"slot": booking.key},
                headers=headers,
                timeout=timeout,
            ) as response:
                body = await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError):
            booking.known_not_run = False
            booking.last_status = results.ExecutionStatus.UNKNOWN
            return
        if response.status == 201:
            booking.booked = True
            booking.last_status = results.ExecutionStatus.RAN
            return
        booking.codes.append(int(body["code"]))
        booking.last_status = results.ExecutionStatus(body["ran"])
        if booking.last_status is not results.ExecutionStatus.NOT_RUN:
            booking.known_not_run = False


def _chunk_text(chunk: dict[str, list[dict[str, str]]]) -> str:
    return chunk["choices"][0]["text"]


def _classify(prompt: str, text: str, code: int) -> CompletionOutcome:
    expected = _tokens.answer(prompt, COMPLETION_TOKENS)
    if not code:
        return (
            CompletionOutcome.COMPLETE
            if text == expected
            else CompletionOutcome.CORRUPTED
        )
    if not expected.startswith(text):
        return CompletionOutcome.CORRUPTED
    return (
        CompletionOutcome.FAILED_MIDWAY if text else CompletionOutcome.REFUSED
    )
