"""When a node is in touch."""

import math

import pytest

from soak import _disturbances

PLANNED = _disturbances.Cause.PLANNED
ACCIDENT = _disturbances.Cause.ACCIDENT


# Guards against: a check counts what the soak itself disturbed, or passes over
# what nothing disturbed.
@pytest.mark.parametrize(
    ("owner", "cause", "span_s", "is_in_touch", "has_no_accident"),
    [
        pytest.param("e1", ACCIDENT, (1, 2), True, True, id="long-ago"),
        pytest.param("e1", ACCIDENT, (1, 8), False, False, id="just-before"),
        pytest.param("e1", ACCIDENT, (1, math.inf), False, False, id="lasting"),
        pytest.param("e1", ACCIDENT, (11, 11), False, False, id="during"),
        pytest.param("e1", ACCIDENT, (13, 14), True, True, id="later"),
        pytest.param("e2", ACCIDENT, (10, 11), True, True, id="other-entry"),
        pytest.param("c1", ACCIDENT, (10, 11), False, False, id="core"),
        pytest.param("e1", PLANNED, (10, 11), False, True, id="planned"),
        pytest.param("c1", PLANNED, (10, 11), False, True, id="planned-core"),
    ],
)
def test_disturbance_of_an_entry_from_10_to_12_s(
    owner: str,
    cause: _disturbances.Cause,
    span_s: tuple[float, float],
    is_in_touch: bool,
    has_no_accident: bool,
) -> None:
    log = _disturbances.Disturbances(["c1", "c2"], window_s=3.0)
    start_s, end_s = span_s
    log.begin(owner, cause, start_s).end_s = end_s
    assert log.is_in_touch("e1", 10, 12) is is_in_touch
    assert log.is_free_of_accidents("e1", 10, 12) is has_no_accident


def test_watch_records_one_span_for_overlapping_causes() -> None:
    log = _disturbances.Disturbances([], window_s=1.0)
    now_s = 0.0
    watch = _disturbances.Watch(log, "s1", lambda: now_s)
    watch.begin("cut")
    watch.begin("cut")
    now_s = 5.0
    assert not log.is_sound("s1", 4.0, 4.0)
    watch.end("cut")
    assert log.is_sound("s1", 6.5, 7.0)
