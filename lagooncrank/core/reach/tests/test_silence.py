"""Silence of all servers, and what must not look like it."""

import pytest

from lagooncrank import clock as clocks
from lagooncrank import observed_time
from lagooncrank.core import reach

TICK_MS = 50


def watch_after(
    silent_ms: int, servers: int, *, heard_at_ms: int | None = None
) -> reach.SilenceWatch:
    """Returns a watch after servers have owed something for some time."""
    watch = reach.SilenceWatch(0)
    for number in range(servers):
        watch.begin(number, f"s{number}")
    for observed_ms in range(TICK_MS, silent_ms + 1, TICK_MS):
        watch.advance(observed_ms)
        if heard_at_ms == observed_ms:
            watch.record_heard()
    return watch


@pytest.mark.parametrize(
    ("silent_ms", "servers", "heard_at_ms", "is_silent"),
    [
        pytest.param(400, 3, None, True, id="three-servers"),
        pytest.param(350, 3, None, False, id="not-long-enough"),
        pytest.param(2_000, 2, None, False, id="two-servers-may-pause"),
        pytest.param(700, 3, 400, False, id="another-server-was-heard"),
        pytest.param(800, 3, 400, True, id="silent-again"),
    ],
)
def test_silence(
    silent_ms: int, servers: int, heard_at_ms: int | None, is_silent: bool
) -> None:
    watch = watch_after(silent_ms, servers, heard_at_ms=heard_at_ms)
    assert watch.is_silent() is is_silent


# Guards against: an entry that was frozen for a second took its own pause for
# the silence of all servers.
def test_pause_of_the_process_is_not_silence_of_the_servers() -> None:
    clock = clocks.ManualClock()
    observed_clock = observed_time.ObservedClock(clock)
    watch = watch_after(100, 5)
    clock.advance(100)
    observed_clock.tick()
    clock.advance(4_900)
    watch.advance(observed_clock.now_ms())
    assert not watch.is_silent()


def test_waits_that_ended_do_not_count() -> None:
    watch = watch_after(1_000, 3)
    watch.end(0)
    assert not watch.is_silent()


def test_wait_goes_on_after_a_sign_of_life() -> None:
    watch = watch_after(1_000, 3)
    for number in range(3):
        watch.record_heard(number)
    assert not watch.is_silent()
    for observed_ms in range(1_050, 1_401, TICK_MS):
        watch.advance(observed_ms)
    assert watch.is_silent()
