"""Callers of the failure drill, and what each of them was told."""

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

DRAFT_TOKENS = 120
DRAFT_TIMEOUT_S = 20.0
BOOKING_TIMEOUT_S = 15.0
#: Times that a caller sends one booking before it gives up.
BOOKING_TRIES = 12
RETRY_PAUSE_S = 0.5
#: Longest time a caller uses entries that it was told of.
KEEP_S = _drill_cluster.KEEP_FOR_MS / 1_000


class DraftEnd(enum.StrEnum):
    """How a draft ended for its caller."""

    WHOLE = "whole"
    WRONG = "wrong"
    REFUSED = "refused"
    FAILED_MIDWAY = "failed_midway"
    CONNECTION_LOST = "connection_lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Draft:
    """What the caller of one draft saw."""

    entry: str
    end: DraftEnd
    #: Result code of a refusal or error, 0 without one.
    code: int
    #: Times on the drill's clock, in milliseconds.
    start_ms: int
    end_ms: int


@dataclasses.dataclass(slots=True)
class Booking:
    """What the caller of one booking was told over all tries."""

    key: str
    tries: int = 0
    booked: bool = False
    #: The last thing said about whether it ran.
    last_ran: results.ExecutionStatus = results.ExecutionStatus.NOT_RUN
    #: Whether "not run" is true for every try so far.
    surely_not_run: bool = True
    codes: list[int] = dataclasses.field(default_factory=list)


class EntryList:
    """The entries that a caller uses, asked for anew once in a while."""

    def __init__(
        self, known: tuple[str, ...], session: aiohttp.ClientSession
    ) -> None:
        self._known = known
        self._session = session
        self._current = list(known)
        self._until_s = 0.0

    async def choose(self, rng: random.Random) -> str:
        """Returns one of the entries in use."""
        now_s = asyncio.get_running_loop().time()
        if now_s >= self._until_s:
            await self._ask(rng)
            self._until_s = now_s + KEEP_S
        return rng.choice(self._current)

    def drop(self, entry: str) -> None:
        """Stops using an entry that cannot be reached."""
        if entry in self._current and len(self._current) > 1:
            self._current.remove(entry)

    async def _ask(self, rng: random.Random) -> None:
        for entry in rng.sample(self._known, len(self._known)):
            url = f"http://{entry}/v1/entries"
            timeout = aiohttp.ClientTimeout(total=1.0)
            try:
                async with self._session.get(url, timeout=timeout) as answer:
                    body = await answer.json()
            except (aiohttp.ClientError, TimeoutError):
                continue
            addresses = [row["address"] for row in body.get("entries", ())]
            if addresses:
                self._current = addresses
                return


class Callers:
    """Sends drafts and bookings, one after another in each task."""

    def __init__(
        self,
        cluster: _drill_cluster.DrillCluster,
        session: aiohttp.ClientSession,
    ) -> None:
        self._cluster = cluster
        self._session = session
        self._stopping = False
        self.drafts: list[Draft] = []
        self.bookings: list[Booking] = []

    def stop(self) -> None:
        """Lets every task end after its present request."""
        self._stopping = True

    async def send_drafts(self, seed: int) -> None:
        """Streams drafts until stopped."""
        rng = random.Random(seed)
        entries = EntryList(self._cluster.entries, self._session)
        number = 0
        while not self._stopping:
            number += 1
            entry = await entries.choose(rng)
            draft = await self._draft(entry, f"draft {seed}-{number}")
            self.drafts.append(draft)
            if draft.end is not DraftEnd.WHOLE:
                entries.drop(entry)
                await asyncio.sleep(RETRY_PAUSE_S)

    async def send_bookings(self, seed: int, pause_s: float) -> None:
        """Makes bookings until stopped; each is tried until it is settled."""
        rng = random.Random(seed)
        entries = EntryList(self._cluster.entries, self._session)
        number = 0
        while not self._stopping:
            number += 1
            booking = Booking(f"visit-{seed}-{number}")
            self.bookings.append(booking)
            while booking.tries < BOOKING_TRIES and not booking.booked:
                entry = await entries.choose(rng)
                await self._book(entry, booking)
                if not booking.booked:
                    entries.drop(entry)
                    await asyncio.sleep(RETRY_PAUSE_S)
            await asyncio.sleep(pause_s)

    async def _draft(self, entry: str, prompt: str) -> Draft:
        start_ms = self._cluster.now_ms()
        text: list[str] = []
        code = 0
        try:
            async with asyncio.timeout(DRAFT_TIMEOUT_S):
                async for part in self._stream(entry, prompt):
                    if isinstance(part, int):
                        code = part
                    else:
                        text.append(part)
            end = _end_of(prompt, "".join(text), code)
        except (aiohttp.ClientError, TimeoutError):
            end = DraftEnd.CONNECTION_LOST
        return Draft(entry, end, code, start_ms, self._cluster.now_ms())

    async def _stream(
        self, entry: str, prompt: str
    ) -> AsyncIterator[str | int]:
        """Yields text, or the code of a refusal or error."""
        body = {
            "model": _drill_cluster.MODEL,
            "prompt": prompt,
            "max_tokens": DRAFT_TOKENS,
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
                    yield (int(data["code"]) if failed else _text_of(data))

    async def _book(self, entry: str, booking: Booking) -> None:
        booking.tries += 1
        url = f"http://{entry}/v1/services/{_drill_cluster.BOOKING}/slots"
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
                answer = await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError):
            booking.surely_not_run = False
            booking.last_ran = results.ExecutionStatus.UNKNOWN
            return
        if response.status == 201:
            booking.booked = True
            booking.last_ran = results.ExecutionStatus.RAN
            return
        booking.codes.append(int(answer["code"]))
        booking.last_ran = results.ExecutionStatus(answer["ran"])
        if booking.last_ran is not results.ExecutionStatus.NOT_RUN:
            booking.surely_not_run = False


def _text_of(chunk: dict[str, list[dict[str, str]]]) -> str:
    return chunk["choices"][0]["text"]


def _end_of(prompt: str, text: str, code: int) -> DraftEnd:
    expected = _tokens.answer(prompt, DRAFT_TOKENS)
    if not code:
        return DraftEnd.WHOLE if text == expected else DraftEnd.WRONG
    if not expected.startswith(text):
        return DraftEnd.WRONG
    return DraftEnd.FAILED_MIDWAY if text else DraftEnd.REFUSED
