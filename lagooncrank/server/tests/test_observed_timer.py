"""Tests of timers in observed time."""

import asyncio

import pytest

from lagooncrank import clock as clocks
from lagooncrank import observed_time
from lagooncrank.server import _observed_timer

DURATION_MS = 20


class Ticker:
    """An observed clock whose time passes only on request."""

    def __init__(self) -> None:
        self._manual = clocks.ManualClock()
        self.clock = observed_time.ObservedClock(self._manual)

    def advance(self, duration_ms: int) -> None:
        self._manual.advance(duration_ms)
        self.clock.tick()


async def _let_timers_run() -> None:
    """Waits for longer than the duration, in time of the event loop."""
    await asyncio.sleep(5 * DURATION_MS / clocks.MS_PER_S)


# Guards against a timer that counts time in which nothing was read.
async def test_timer_waits_for_observed_time() -> None:
    ticker = Ticker()
    calls: list[int] = []
    timer = _observed_timer.ObservedTimer(
        ticker.clock, DURATION_MS, lambda: calls.append(1)
    )

    await _let_timers_run()
    assert not calls
    ticker.advance(DURATION_MS)
    await _let_timers_run()

    assert calls == [1]
    timer.cancel()


async def test_restarted_timer_waits_anew() -> None:
    ticker = Ticker()
    calls: list[int] = []
    timer = _observed_timer.ObservedTimer(
        ticker.clock, DURATION_MS, lambda: calls.append(1)
    )

    ticker.advance(DURATION_MS - 1)
    timer.restart()
    ticker.advance(DURATION_MS - 1)
    await _let_timers_run()

    assert not calls
    timer.cancel()


async def test_cancelled_timer_does_not_call() -> None:
    ticker = Ticker()
    calls: list[int] = []
    timer = _observed_timer.ObservedTimer(
        ticker.clock, DURATION_MS, lambda: calls.append(1)
    )

    timer.cancel()
    ticker.advance(DURATION_MS)
    await _let_timers_run()

    assert not calls


# Guards against a peer that is given up for this process's own standstill.
async def test_timeout_counts_observed_time() -> None:
    ticker = Ticker()
    answered = asyncio.Event()

    async with _observed_timer.timeout(ticker.clock, DURATION_MS):
        await _let_timers_run()
        asyncio.get_running_loop().call_soon(answered.set)
        await answered.wait()


async def test_timeout_ends_a_wait() -> None:
    ticker = Ticker()
    loop = asyncio.get_running_loop()
    loop.call_soon(ticker.advance, DURATION_MS)

    with pytest.raises(TimeoutError):
        async with _observed_timer.timeout(ticker.clock, DURATION_MS):
            await asyncio.Event().wait()
