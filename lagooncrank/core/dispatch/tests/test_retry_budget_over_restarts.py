"""Retries of all entries together, while they restart."""

from collections.abc import Callable
import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from lagooncrank import model
from lagooncrank.core import dispatch
from lagooncrank.core.dispatch.tests import retry_budget_model as models

#: Values of deployments: number of entries, fixed number of retries.
SIZES = [
    (6, 136.0),
    (9, 130.0),
    (23, 136.0),
    (83, 274.0),
    (86, 296.0),
]


def everyone(entry_count: int) -> tuple[int, ...]:
    return tuple(range(entry_count))


def all_killed(entry_count: int) -> models.Scenario:
    return models.Scenario(
        entry_count,
        0.0,
        tuple(
            models.Restart(at_ms, everyone(entry_count))
            for at_ms in (11_000, 15_000, 19_000, 22_000)
        ),
        control_restarts_ms=(19_000,),
    )


def killed_in_series(entry_count: int) -> models.Scenario:
    return models.Scenario(
        entry_count,
        0.0,
        tuple(
            models.Restart(11_000 + 300 * n, (n % entry_count,))
            for n in range(90)
        ),
    )


def stopped_in_series(entry_count: int) -> models.Scenario:
    return models.Scenario(
        entry_count,
        0.0,
        tuple(
            models.Restart(11_000 + 9_000 * n, (n, n + 1, n + 2), True)
            for n in range(3)
        ),
    )


def restarted_behind_a_cut(entry_count: int) -> models.Scenario:
    return models.Scenario(
        entry_count,
        0.0,
        (models.Restart(18_000, everyone(entry_count)[::2]),),
        ((12_000, 40_000, entry_count - 1),),
        control_restarts_ms=(18_000,),
    )


# Guards against: an entry that had just started took the whole budget as it
# believed it was alone, and each restart gave it its whole share again.
@pytest.mark.parametrize(("entry_count", "extra"), SIZES)
@pytest.mark.parametrize(
    "make_scenario",
    [all_killed, killed_in_series, stopped_in_series, restarted_behind_a_cut],
)
def test_retries_stay_within_the_budget_over_restarts(
    make_scenario: Callable[[int], models.Scenario],
    entry_count: int,
    extra: float,
) -> None:
    played = dataclasses.replace(make_scenario(entry_count), extra=extra)
    fleet = models.Fleet(played, seed=entry_count)
    fleet.play()
    assert fleet.excess() <= 0
    # Callers still get a good part of what the budget allows.
    per_window = len(fleet.retries_ms) * models.WINDOW_MS / played.duration_ms
    assert per_window >= 0.35 * extra


restarts = strategies.builds(
    models.Restart,
    # Once every entry has been in a summary.
    strategies.integers(3_000, 29_000),
    strategies.lists(strategies.integers(0, 5), max_size=6, unique=True).map(
        tuple
    ),
    strategies.booleans(),
)
gaps = strategies.tuples(
    strategies.integers(3_000, 20_000),
    strategies.integers(3_000, 30_000),
    strategies.integers(1, 6),
)


# Guards against: the same, for restarts and incomplete summaries at any time.
@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(
    restarts=strategies.lists(restarts, max_size=8).map(tuple),
    incomplete=strategies.lists(gaps, max_size=2).map(tuple),
    control_restarts_ms=strategies.lists(
        strategies.integers(3_000, 29_000), max_size=3
    ).map(tuple),
    seed=strategies.integers(0, 99),
)
def test_retries_stay_within_the_budget_at_any_time(
    restarts: tuple[models.Restart, ...],
    incomplete: tuple[tuple[int, int, int], ...],
    control_restarts_ms: tuple[int, ...],
    seed: int,
) -> None:
    scenario = models.Scenario(
        6, 136.0, restarts, incomplete, control_restarts_ms, 30_000
    )
    fleet = models.Fleet(scenario, seed)
    fleet.play()
    assert fleet.excess() <= 0


bursts = strategies.tuples(
    strategies.integers(0, 400).map(lambda steps: steps * models.STEP_MS),
    strategies.integers(1, 300),
)


# Guards against: requests of two windows paid for the retries of one.
@hypothesis.settings(max_examples=100, deadline=None)
@hypothesis.given(
    requests=strategies.lists(bursts, max_size=8),
    attempts_ms=strategies.lists(strategies.integers(0, 25_000), max_size=8),
)
def test_retries_that_requests_pay_for_stay_within_their_part(
    requests: list[tuple[int, int]], attempts_ms: list[int]
) -> None:
    rules = model.RetryBudgetRules(models.WINDOW_MS, models.RATIO, extra=0)
    budget = dispatch.SharedRetryBudget(rules, 0, is_first_start=True)
    fleet = models.Fleet(models.Scenario(1, 0.0, duration_ms=30_000), seed=0)
    arrivals = sorted(requests)
    for now_ms in sorted([t for t, _ in arrivals] + attempts_ms):
        while arrivals and arrivals[0][0] <= now_ms:
            at_ms, count = arrivals.pop(0)
            for _ in range(count):
                budget.record_request(models.SERVICE, at_ms)
                fleet.requests_ms.append(at_ms)
        while budget.try_acquire(models.SERVICE, 1, now_ms):
            fleet.retries_ms.append(now_ms)
    assert fleet.excess() <= 0


# Guards against: an entry of unknown fleet size used the fixed number.
def test_without_a_known_number_of_entries_only_requests_pay() -> None:
    rules = model.RetryBudgetRules(window_ms=1_000, ratio=0.5, extra=100)
    budget = dispatch.SharedRetryBudget(rules, 0, is_first_start=False)
    for _ in range(20):
        budget.record_request(models.SERVICE, 5_000)
    acquired = [
        budget.try_acquire(models.SERVICE, None, 5_000) for _ in range(10)
    ]
    assert sum(acquired) == 3
