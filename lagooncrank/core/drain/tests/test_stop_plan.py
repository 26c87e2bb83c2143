"""Requests that fit into what is left of a planned stop."""

import hypothesis
from hypothesis import strategies
import pytest

from lagooncrank.core import drain
from lagooncrank.core.drain import _stop_plan

STARTED_MS = 50_000
GRACE_MS = 8_000
SERVED_UNTIL_MS = STARTED_MS + 2_800
ANSWERS_UNTIL_MS = STARTED_MS + 7_600
LATE_MS = ANSWERS_UNTIL_MS + 1
SHORTEST_MS = _stop_plan.MIN_DURATION_MS


def plan(grace_ms: int = GRACE_MS) -> drain.StopPlan:
    return drain.StopPlan.from_grace(STARTED_MS, grace_ms)


@pytest.mark.parametrize(
    ("deadline_ms", "latest_ms"),
    [
        pytest.param(LATE_MS, SERVED_UNTIL_MS, id="may-outlast-the-stop"),
        pytest.param(LATE_MS + 60_000, SERVED_UNTIL_MS, id="far-later"),
        pytest.param(
            ANSWERS_UNTIL_MS,
            ANSWERS_UNTIL_MS - SHORTEST_MS,
            id="ends-in-time-at-the-latest",
        ),
        pytest.param(
            STARTED_MS, ANSWERS_UNTIL_MS - SHORTEST_MS, id="ends-early"
        ),
    ],
)
def test_latest_start(deadline_ms: int, latest_ms: int) -> None:
    assert plan().latest_start_ms(deadline_ms) == latest_ms


# Guards against: a request that was accepted late in a stop outlasted it.
@hypothesis.given(
    strategies.integers(1, 60_000),
    strategies.integers(0, 60_000),
    strategies.integers(1, 60_000),
)
def test_what_is_sent_late_must_be_complete_before_the_cut(
    grace_ms: int, after_ms: int, time_limit_ms: int
) -> None:
    stop_plan = plan(grace_ms)
    now_ms = STARTED_MS + after_ms
    deadline_ms = now_ms + time_limit_ms
    if now_ms < stop_plan.latest_start_ms(deadline_ms):
        is_early = now_ms < stop_plan.serves_all_until_ms
        assert is_early or deadline_ms <= stop_plan.answers_until_ms


@pytest.mark.parametrize("grace_ms", [1, 500, 2_000, 8_000, 30_000])
def test_stages_come_in_order_before_the_end_of_the_grace_period(
    grace_ms: int,
) -> None:
    stop_plan = plan(grace_ms)
    assert (
        STARTED_MS
        <= stop_plan.serves_all_until_ms
        <= stop_plan.answers_until_ms
        <= stop_plan.cut_ms
        < STARTED_MS + grace_ms
    )
