"""Retries of all entries while servers stand still, and read late.

For as long as a silence lasts, every entry retries as often as its budget
allows. The retries arrive at sound servers; what they replace is read when the
silent servers go on.
"""

import bisect
from collections.abc import Sequence

import pytest

from lagooncrank import model
from lagooncrank.core import dispatch

SERVICE = model.ServiceName("desk")
RULES = model.RetryBudgetRules(window_ms=10_000, ratio=0.2, extra=130)
ENTRIES = 6
STEP_MS = 10
SILENT_FROM_MS = 30_000
END_MS = 60_000


def fullest_window(
    silence_ms: int, requests_per_s: int, *, is_charged: bool
) -> float:
    """Returns the highest part of the allowed repeats that a window has.

    Args:
        silence_ms: For how long the servers stand still.
        requests_per_s: Requests of all entries together.
        is_charged: Whether what is read late is charged then.
    """
    budgets = [
        dispatch.SharedRetryBudget(RULES, 0, is_first_start=True)
        for _ in range(ENTRIES)
    ]
    wakes_ms = SILENT_FROM_MS + silence_ms
    late = [0] * ENTRIES
    repeats_ms: list[int] = []
    requests_ms: list[int] = []
    for now_ms in range(0, END_MS, STEP_MS):
        if len(requests_ms) < requests_per_s * now_ms / 1_000:
            entry = len(requests_ms) % ENTRIES
            budgets[entry].record_request(SERVICE, now_ms)
            requests_ms.append(now_ms)
        if now_ms < SILENT_FROM_MS:
            continue
        for entry, budget in enumerate(budgets):
            if now_ms == wakes_ms and is_charged:
                budget.charge_late(SERVICE, late[entry], ENTRIES, now_ms)
            while budget.try_acquire(SERVICE, ENTRIES, now_ms):
                late[entry] += now_ms < wakes_ms
                repeats_ms.append(max(now_ms, wakes_ms))
    return max(
        _count(repeats_ms, end_ms) / _allowed(requests_ms, end_ms)
        for end_ms in set(repeats_ms)
    )


def _allowed(requests_ms: Sequence[int], end_ms: int) -> float:
    requests = max(
        _count(requests_ms, end_ms - earlier_ms)
        for earlier_ms in (0, RULES.window_ms // 2, RULES.window_ms)
    )
    return RULES.extra + RULES.ratio * requests


def _count(times_ms: Sequence[int], end_ms: int) -> int:
    first = bisect.bisect_left(times_ms, end_ms - RULES.window_ms)
    return bisect.bisect_right(times_ms, end_ms) - first


# Guards against: what a long silence held back arrived beside the retries of
# the ten seconds after it, beyond the budget.
@pytest.mark.parametrize("requests_per_s", [0, 70])
@pytest.mark.parametrize("silence_ms", [0, 1_300, 2_500, 4_000, 8_000])
def test_attempts_that_are_read_late_stay_within_the_budget(
    silence_ms: int, requests_per_s: int
) -> None:
    assert fullest_window(silence_ms, requests_per_s, is_charged=True) <= 1.0


# The scenario is one that the charge is needed for.
def test_they_would_not_without_the_charge() -> None:
    assert fullest_window(4_000, 70, is_charged=False) > 1.0


# Guards against: an entry that owes for late attempts retries on, or never
# again.
@pytest.mark.parametrize(
    "rules",
    [
        pytest.param(RULES, id="fixed-number"),
        pytest.param(model.RetryBudgetRules(10_000, 0.2, 0), id="ratio-only"),
    ],
)
def test_debt_is_paid_off(rules: model.RetryBudgetRules) -> None:
    budget = dispatch.SharedRetryBudget(rules, 0, is_first_start=True)

    def send_requests(from_ms: int) -> int:
        for now_ms in range(from_ms, from_ms + 1_000, STEP_MS):
            budget.record_request(SERVICE, now_ms)
        return from_ms + 1_000

    now_ms = send_requests(0)
    assert budget.try_acquire(SERVICE, ENTRIES, now_ms)
    budget.charge_late(SERVICE, 30, ENTRIES, now_ms)
    assert not budget.try_acquire(SERVICE, ENTRIES, now_ms)
    for _ in range(10):
        now_ms = send_requests(now_ms)
    assert budget.try_acquire(SERVICE, ENTRIES, now_ms)
