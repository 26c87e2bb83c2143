import json
import os

from lagooncrank import clock as clocks
from lagooncrank import observed_time
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _loop_watch


def logged_lags(lags_ms: list[int]) -> list[int]:
    """Returns the delays that are logged, of ticks that are so late."""
    read_end, write_end = os.pipe()
    clock = clocks.ManualClock()
    log = _decision_log.DecisionLog(write_end, clock, "n")
    watch = _loop_watch.LoopWatch(
        clock, observed_time.ObservedClock(clock), log
    )
    for lag_ms in lags_ms:
        clock.advance(observed_time.TICK_MS + lag_ms)
        assert watch.lag_ms == lag_ms
        watch.tick()
    log.flush()
    os.close(write_end)
    with os.fdopen(read_end) as lines:
        return [json.loads(line)["lag_ms"] for line in lines]


# Guards against a loop that stands still without a trace in the log.
def test_only_long_delays_are_logged() -> None:
    assert logged_lags([0, 20, 250, 251, 0, 3_000]) == [251, 3_000]


# Guards against a delay that is told only after it is over.
def test_delay_shows_before_the_tick() -> None:
    clock = clocks.ManualClock()
    log = _decision_log.DecisionLog(os.open(os.devnull, os.O_WRONLY), clock, "")
    watch = _loop_watch.LoopWatch(
        clock, observed_time.ObservedClock(clock), log
    )
    clock.advance(observed_time.TICK_MS - 1)
    assert watch.lag_ms == 0
    clock.advance(1_001)
    assert watch.lag_ms == 1_000


# Guards against a node whose observed time stands still.
def test_tick_counts_as_observed_time() -> None:
    clock = clocks.ManualClock()
    log = _decision_log.DecisionLog(os.open(os.devnull, os.O_WRONLY), clock, "")
    observed_clock = observed_time.ObservedClock(clock)
    watch = _loop_watch.LoopWatch(clock, observed_clock, log)
    for _ in range(10):
        clock.advance(observed_time.TICK_MS)
        watch.tick()
    assert observed_clock.now_ms() == 10 * observed_time.TICK_MS
