"""The check of the retry budget."""

import pytest

from soak import _budget

RULES = _budget.BudgetRules(window_s=10.0, ratio=0.5, extra=2)


def arrivals(
    requests_s: list[float], repeats_s: list[float]
) -> _budget.Arrivals:
    """Returns one first arrival and repeats of the same request."""
    recorded = _budget.Arrivals()
    for at_s in requests_s:
        recorded.record_request("desk", at_s)
    recorded.record_arrival("desk", "a1", 0.0)
    for at_s in repeats_s:
        recorded.record_arrival("desk", "a1", at_s)
    return recorded


# Guards against: repeats beyond the budget pass unseen.
@pytest.mark.parametrize(
    ("requests_s", "repeats_s", "is_violation"),
    [
        pytest.param([], [], False, id="no-repeat"),
        pytest.param([], [1, 2], False, id="extra"),
        pytest.param([], [1, 2, 3], True, id="over-extra"),
        pytest.param([1, 1], [2, 2, 3], False, id="ratio"),
        pytest.param([1, 1], [2, 2, 3, 3], True, id="over-ratio"),
        pytest.param([], [1, 2, 11.5], False, id="two-windows"),
        pytest.param([1, 1], [16, 16, 17], False, id="window-before"),
        pytest.param([1, 1], [26, 26, 27], True, id="long-before"),
    ],
)
def test_repeats_in_a_sliding_window(
    requests_s: list[float], repeats_s: list[float], is_violation: bool
) -> None:
    found = list(arrivals(requests_s, repeats_s).violations(RULES))
    assert bool(found) is is_violation


def test_requests_of_another_service_do_not_count() -> None:
    recorded = arrivals([], [1, 2, 3])
    for _ in range(9):
        recorded.record_request("writers", 1.0)
    assert list(recorded.violations(RULES))


# Guards against: nobody sees how close repeats came to the bound.
def test_fullest_window() -> None:
    assert arrivals([], []).fullest(RULES) == 0.0
    assert arrivals([], [1, 2, 30]).fullest(RULES) == 1.0
