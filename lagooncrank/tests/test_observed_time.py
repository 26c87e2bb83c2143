"""Tests of observed time."""

from collections.abc import Sequence
import dataclasses

import pytest

from lagooncrank import clock as clocks
from lagooncrank import observed_time


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    steps_ms: Sequence[int]
    observed_ms: int
    missed_ms: int


TICK_MS = observed_time.TICK_MS
MAX_STEP_MS = observed_time.MAX_STEP_MS

CASES = {
    "no_tick_yet": Case((), 0, 0),
    "regular_ticks": Case((TICK_MS, TICK_MS), 2 * TICK_MS, 0),
    "late_tick": Case((MAX_STEP_MS,), MAX_STEP_MS, 0),
    "standstill": Case((2_000,), MAX_STEP_MS, 2_000 - MAX_STEP_MS),
    "standstills_in_a_row": Case(
        (2_000, 20, 1_000),
        2 * MAX_STEP_MS + 20,
        3_000 - 2 * MAX_STEP_MS,
    ),
    "slow_machine": Case(
        (300,) * 10, 10 * MAX_STEP_MS, 10 * (300 - MAX_STEP_MS)
    ),
}


# Guards against time in which a process read nothing being counted.
@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_time_between_late_ticks_does_not_count(case: Case) -> None:
    clock = clocks.ManualClock(start_ms=50)
    observed = observed_time.ObservedClock(clock)

    for step_ms in case.steps_ms:
        clock.advance(step_ms)
        # What is read before a tick is what counts after it.
        before = observed.now_ms(), observed.missed_ms
        observed.tick()
        assert (observed.now_ms(), observed.missed_ms) == before

    assert observed.now_ms() == case.observed_ms
    assert observed.missed_ms == case.missed_ms


def test_unticked_time_is_limited() -> None:
    clock = clocks.ManualClock()
    observed = observed_time.ObservedClock(clock)
    clock.advance(10_000)

    assert observed.now_ms() == MAX_STEP_MS
