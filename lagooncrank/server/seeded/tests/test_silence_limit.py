"""Limit on the silence of a server, in time that the entry observed."""

import asyncio

import pytest

from lagooncrank import clock as clocks
from lagooncrank import observed_time
from lagooncrank.server.seeded import _silence_limit

PATIENCE_MS = 1_000
STEP_MS = 50


class Wait:
    """A wait for a server with a limit, and a clock that is moved by hand."""

    def __init__(self, *, may_give_up: bool = True) -> None:
        self._clock = clocks.ManualClock()
        observed_clock = observed_time.ObservedClock(self._clock)
        self._observed_clock = observed_clock
        self.may_give_up = may_give_up
        #: Checks whether the request can be attempted again.
        self.checks = 0
        self._signal = _silence_limit.SilenceSignal()
        self._limit = _silence_limit.SilenceLimit(
            observed_clock, PATIENCE_MS, self._check
        )
        self._watch = self._limit.watch(self._signal)
        self._watch.__enter__()

    def _check(self) -> bool:
        self.checks += 1
        return self.may_give_up

    @property
    def is_silent(self) -> bool:
        """Whether the server was taken for silent."""
        return self._signal.expired()

    async def observe(self, duration_ms: int) -> None:
        """Lets time pass in which the entry reads, and its due timers run."""
        for _ in range(duration_ms // STEP_MS):
            self._clock.advance(STEP_MS)
            self._observed_clock.tick()
            self._run_timer()
            await asyncio.sleep(0)

    def stand_still(self, duration_ms: int) -> None:
        """Lets time pass in which nothing is read, and a due timer run."""
        self._clock.advance(duration_ms)
        self._run_timer()
        self._observed_clock.tick()

    def hear(self) -> None:
        """Reads a sign of progress."""
        self._limit.restart()

    def close(self) -> None:
        """Ends the wait."""
        self._watch.__exit__(None, None, None)
        self._limit.close()

    def _run_timer(self) -> None:
        timer = self._limit._timer
        if timer is not None:
            assert timer._handle is not None
            timer._handle.cancel()
            timer._on_timer()


# Guards against: an entry that stood still took that for its server's silence.
@pytest.mark.parametrize("standstill_ms", [1_500, 60_000])
async def test_standstill_of_the_entry_is_no_silence(
    standstill_ms: int,
) -> None:
    wait = Wait()
    await wait.observe(PATIENCE_MS // 2)
    wait.stand_still(standstill_ms)
    assert not wait.is_silent
    # What the server sent meanwhile is read only now.
    wait.hear()
    await wait.observe(PATIENCE_MS - STEP_MS)
    assert not wait.is_silent
    await wait.observe(STEP_MS)
    assert wait.is_silent
    wait.close()


async def test_silence_goes_on_after_a_standstill() -> None:
    wait = Wait()
    await wait.observe(PATIENCE_MS // 2)
    wait.stand_still(60_000)
    await wait.observe(PATIENCE_MS // 2)
    assert wait.is_silent
    wait.close()


async def test_run_that_cannot_be_given_up_is_checked_again() -> None:
    wait = Wait(may_give_up=False)
    await wait.observe(PATIENCE_MS)
    assert (wait.is_silent, wait.checks) == (False, 1)
    await wait.observe(2 * _silence_limit.RECHECK_MS)
    assert (wait.is_silent, wait.checks) == (False, 3)
    wait.may_give_up = True
    await wait.observe(_silence_limit.RECHECK_MS)
    assert wait.is_silent
    wait.close()


async def test_whole_patience_begins_anew_after_an_overdue_event() -> None:
    wait = Wait(may_give_up=False)
    await wait.observe(PATIENCE_MS)
    wait.hear()
    await wait.observe(PATIENCE_MS - STEP_MS)
    assert wait.checks == 1
    await wait.observe(STEP_MS)
    assert wait.checks == 2
    wait.close()


async def test_closed_limit_does_not_expire() -> None:
    wait = Wait()
    wait.close()
    wait.hear()
    await wait.observe(2 * PATIENCE_MS)
    assert (wait.is_silent, wait.checks) == (False, 0)
