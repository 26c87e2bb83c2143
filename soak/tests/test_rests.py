"""The check of servers that ask for rest."""

import pytest

from soak import _rests

REST_S = 4.0


# Guards against: requests that reach a resting server pass unseen.
@pytest.mark.parametrize(
    ("entry", "arrivals_s", "is_in_touch", "is_violation"),
    [
        pytest.param("e1", [9.0, 9.1, 9.2], True, False, id="before"),
        pytest.param("e1", [10.1, 10.3, 10.5], True, False, id="under-way"),
        pytest.param("e1", [10.6, 12.0], True, False, id="few"),
        pytest.param("e1", [10.6, 12.0, 13.9], True, True, id="many"),
        pytest.param("e1", [10.6, 12.0, 14.1], True, False, id="after"),
        pytest.param("e1", [10.6, 12.0, 13.9], False, False, id="cut-off"),
        pytest.param("e2", [10.6, 12.0, 13.9], True, False, id="other-entry"),
    ],
)
def test_arrivals_at_a_server_that_rests_from_10_s_on(
    entry: str,
    arrivals_s: list[float],
    is_in_touch: bool,
    is_violation: bool,
) -> None:
    rests = _rests.Rests()
    rests.record_refusal("s1", "e1", REST_S, 10.0)
    for at_s in arrivals_s:
        rests.record_arrival("s1", entry, "a1", at_s)
    found = list(rests.violations(lambda _attempt, _at: is_in_touch))
    assert bool(found) is is_violation
