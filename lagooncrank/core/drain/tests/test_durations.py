"""Longest recent durations of the requests of a route."""

import pytest

from lagooncrank.core import drain
from lagooncrank.core.drain import _durations

SAMPLES = _durations.MIN_SAMPLES
PERIOD_MS = _durations.PERIOD_MS
FACTOR = _durations.SAFETY_FACTOR


def recorded(
    samples: list[tuple[int, int, int]], now_ms: int = 0
) -> drain.RecentDurations:
    durations = drain.RecentDurations()
    for tokens, first_ms, whole_ms in samples:
        durations.record("r", tokens, first_ms, whole_ms, now_ms)
    return durations


@pytest.mark.parametrize(
    ("samples", "tokens", "expected_ms"),
    [
        ([], 0, None),
        ([(0, 20, 20)] * (SAMPLES - 1), 0, None),
        ([(0, 20, 20)] * SAMPLES, 0, 20),
        # One slow request is enough.
        ([(0, 20, 20)] * SAMPLES + [(0, 900, 900)], 0, 900),
        # Twice the tokens take twice the time after the first event.
        ([(100, 300, 1_300)] * SAMPLES, 200, 2_300),
        ([(100, 300, 1_300)] * SAMPLES, 10, 400),
        # Each part counts with its longest time.
        (
            [(100, 300, 1_300)] * SAMPLES + [(100, 900, 1_000)],
            100,
            1_900,
        ),
        # Without a size the longest whole duration counts.
        ([(100, 300, 1_300)] * SAMPLES, 0, 1_300),
        # Whole responses state no time for each token.
        ([(100, 250, 250)] * SAMPLES, 500, 250),
    ],
)
def test_longest_duration(
    samples: list[tuple[int, int, int]], tokens: int, expected_ms: int | None
) -> None:
    longest_ms = recorded(samples).longest_ms("r", tokens, 0)
    expected = None if expected_ms is None else int(FACTOR * expected_ms)
    assert longest_ms == expected


def test_other_routes_tell_nothing() -> None:
    durations = recorded([(0, 20, 20)] * SAMPLES)
    assert durations.longest_ms("other", 0, 0) is None


@pytest.mark.parametrize(
    ("age_ms", "is_known"),
    [
        (PERIOD_MS - 1, True),
        (2 * PERIOD_MS - 1, True),
        (2 * PERIOD_MS, False),
        (10 * PERIOD_MS, False),
    ],
)
def test_old_durations_are_forgotten(age_ms: int, *, is_known: bool) -> None:
    durations = recorded([(0, 20, 20)] * SAMPLES)
    if age_ms > PERIOD_MS:
        durations.record("other", 0, 1, 1, PERIOD_MS)
    assert (durations.longest_ms("r", 0, age_ms) is not None) is is_known
