"""An engine is not silent while this process stands still."""

import asyncio
from typing import Any
from typing import cast

import pytest

from lagooncrank import clock as clocks
from lagooncrank import observed_time
from lagooncrank.core import retry
from lagooncrank.core import timeouts
from lagooncrank.server import _attempts
from lagooncrank.server import _engine_stream
from lagooncrank.server import _watchdog

TIMEOUT_MS = 1_000
#: For a test that waits in time of the event loop.
SHORT_TIMEOUT_MS = 50
STEP_MS = 50
#: Much longer than any step takes, so that only a fault exceeds it.
TEST_TIMEOUT_S = 30.0


class Engine:
    """Session of one engine, whose head and first bytes come on request."""

    def __init__(self) -> None:
        self.responds = asyncio.Event()
        self.status = 200
        self.content = self
        self._arrived: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )

    async def post(self, *_: object, **_named: object) -> "Engine":
        await self.responds.wait()
        return self

    async def readany(self) -> bytes:
        return await self._arrived

    def send(self, data: bytes) -> None:
        """Sends bytes of the response."""
        self._arrived.set_result(data)

    def set_exception(self, error: Exception) -> None:
        """Ends a pending read."""
        self._arrived.set_exception(error)


class Entry:
    """A stream at an engine, with clocks that are moved by hand."""

    def __init__(self, timeout_ms: int = TIMEOUT_MS) -> None:
        bounds = timeouts.TimeoutBounds(timeout_ms, timeout_ms, timeout_ms)
        self.clock = clocks.ManualClock()
        self.observed_clock = observed_time.ObservedClock(self.clock)
        self.watchdog = _watchdog.Watchdog(self.clock, self.observed_clock)
        self.engine = Engine()
        self.stream = _engine_stream.EngineStream(
            timeouts.AdaptiveTimeout(bounds),
            timeouts.AdaptiveTimeout(bounds),
            self.clock,
            self.observed_clock,
        )
        self.watchdog.add(self.stream.watch)

    async def open(self) -> None:
        await self.stream.open(cast(Any, self.engine), "", b"")

    async def start_reading(self) -> asyncio.Task[list[Any]]:
        """Starts a read that waits for the first bytes."""
        self.engine.responds.set()
        await self.open()
        reading = asyncio.create_task(self.stream.read())
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not self.stream.watch.silent_due_ms:  # noqa: ASYNC110
                await asyncio.sleep(0)
        return reading

    def observe(self, duration_ms: int) -> None:
        """Lets time pass in which this process runs."""
        for _ in range(duration_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            self.observed_clock.tick()
            self.watchdog.sweep()


# Guards against: requests at sound engines were given up as their timers ran
# before what the engines had sent meanwhile was read.
async def test_engine_is_waited_for_in_observed_time() -> None:
    entry = Entry(SHORT_TIMEOUT_MS)
    opening = asyncio.create_task(entry.open())
    # Longer than the timeout, in time of the event loop.
    await asyncio.sleep(5 * SHORT_TIMEOUT_MS / clocks.MS_PER_S)
    assert not opening.done()
    entry.engine.responds.set()
    await opening


async def test_engine_without_a_response_is_given_up() -> None:
    entry = Entry(SHORT_TIMEOUT_MS)
    opening = asyncio.create_task(entry.open())
    await asyncio.sleep(0)
    entry.observe(SHORT_TIMEOUT_MS)
    with pytest.raises(_attempts.AttemptFailedError) as raised:
        await opening
    kind = raised.value.failure.kind
    assert kind is retry.FailureKind.FIRST_BYTE_TIMEOUT


async def test_standstill_is_no_silence_of_an_engine() -> None:
    entry = Entry()
    reading = await entry.start_reading()
    entry.observe(TIMEOUT_MS // 2)
    entry.clock.advance(60_000)
    entry.watchdog.sweep()
    # What the engine sent meanwhile is read only now.
    entry.engine.send(b"")
    assert await reading == []


# Guards against: a silent engine is waited for without an end.
async def test_silence_of_an_engine_ends_the_wait() -> None:
    entry = Entry()
    reading = await entry.start_reading()
    entry.observe(TIMEOUT_MS)
    with pytest.raises(_attempts.AttemptFailedError) as raised:
        await reading
    kind = raised.value.failure.kind
    assert kind is retry.FailureKind.FIRST_BYTE_TIMEOUT


async def test_deadline_passes_while_the_process_stands_still() -> None:
    entry = Entry()
    entry.stream.deadline_ms = 1_000
    reading = await entry.start_reading()
    entry.clock.advance(1_000)
    entry.watchdog.sweep()
    with pytest.raises(_attempts.DeadlinePassedError):
        await reading
