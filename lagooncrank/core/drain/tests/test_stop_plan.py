"""Requests that fit into what is left of a planned stop."""

import pytest

from lagooncrank.core import drain
from lagooncrank.core.drain import _stop_plan

STARTED_MS = 50_000
GRACE_MS = 8_000
SERVED_UNTIL_MS = STARTED_MS + 2_800
CUT_MS = STARTED_MS + 7_440
LATE_MS = CUT_MS + 1
SHORTEST_MS = _stop_plan.MIN_DURATION_MS
PAUSE_MS = drain.MAX_PAUSE_MS


def plan(grace_ms: int = GRACE_MS) -> drain.StopPlan:
    return drain.StopPlan.from_grace(STARTED_MS, grace_ms)


@pytest.mark.parametrize(
    ("deadline_ms", "longest_ms", "latest_ms"),
    [
        # Nothing is known: only early requests are served.
        (LATE_MS, None, SERVED_UNTIL_MS),
        # What takes longer than the rest of the stop is refused.
        (LATE_MS, 3_000, CUT_MS - 3_000 - PAUSE_MS),
        (LATE_MS, 1, CUT_MS - SHORTEST_MS - PAUSE_MS),
        (LATE_MS, 7_000, SERVED_UNTIL_MS),
        (LATE_MS, 60_000, SERVED_UNTIL_MS),
        # A request whose time ends before the cut is not cut.
        (CUT_MS, None, CUT_MS - SHORTEST_MS),
        (CUT_MS, 60_000, CUT_MS - SHORTEST_MS),
    ],
)
def test_latest_start(
    deadline_ms: int, longest_ms: int | None, latest_ms: int
) -> None:
    assert plan().latest_start_ms(deadline_ms, longest_ms) == latest_ms


@pytest.mark.parametrize("grace_ms", [1, 500, 2_000, 8_000, 30_000])
def test_stages_come_in_order_before_the_end_of_the_grace_period(
    grace_ms: int,
) -> None:
    stop_plan = plan(grace_ms)
    assert (
        STARTED_MS
        <= stop_plan.serves_all_until_ms
        <= stop_plan.accepts_until_ms
        <= stop_plan.cut_ms
        < STARTED_MS + grace_ms
    )
