import hypothesis
from hypothesis import strategies as st
import pytest

from lagooncrank.core import timeouts

BOUNDS = timeouts.TimeoutBounds(
    initial_ms=1_000, floor_ms=100, ceiling_ms=9_000
)


@pytest.mark.parametrize(
    ("durations_ms", "min_ms", "max_ms"),
    [
        pytest.param([1] * 50, 100, 100, id="floor"),
        pytest.param([50_000] * 50, 9_000, 9_000, id="ceiling"),
        pytest.param([200] * 50, 800, 900, id="steady"),
        pytest.param([100, 700] * 50, 1_000, 2_500, id="jitter"),
    ],
)
def test_timeout_adapts_to_measured_durations(
    durations_ms: list[int], min_ms: int, max_ms: int
) -> None:
    timeout = timeouts.AdaptiveTimeout(BOUNDS)
    for duration_ms in durations_ms:
        timeout.record(duration_ms)
    assert min_ms <= timeout.timeout_ms <= max_ms


@hypothesis.given(
    st.lists(st.one_of(st.none(), st.floats(0, 100_000)), max_size=50)
)
def test_timeout_stays_within_bounds(events: list[float | None]) -> None:
    timeout = timeouts.AdaptiveTimeout(BOUNDS)
    for duration_ms in events:
        if duration_ms is None:
            timeout.back_off()
        else:
            timeout.record(duration_ms)
        assert BOUNDS.floor_ms <= timeout.timeout_ms <= BOUNDS.ceiling_ms


def test_kinds_of_requests_have_separate_timeouts() -> None:
    adaptive = timeouts.AdaptiveTimeouts(BOUNDS, BOUNDS)
    for _ in range(50):
        adaptive.first_byte("status").record(1)
    assert adaptive.first_byte("status").timeout_ms == 100
    assert adaptive.first_byte("completion").timeout_ms == 1_000
    assert adaptive.between_bytes("status").timeout_ms == 1_000
