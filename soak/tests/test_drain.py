"""The check of servers that have left."""

import pytest

from soak import _drain


# Guards against: requests that reach a server long after it left pass unseen.
@pytest.mark.parametrize(
    ("arrived_s", "is_in_touch", "is_violation"),
    [
        pytest.param(9.0, True, False, id="before"),
        pytest.param(11.9, True, False, id="within-the-bound"),
        pytest.param(12.1, True, True, id="late"),
        pytest.param(12.1, False, False, id="not-in-touch"),
    ],
)
def test_arrival_at_a_server_that_left_at_10_s(
    arrived_s: float, is_in_touch: bool, is_violation: bool
) -> None:
    left = _drain.LeftServers(drain_s=2.0)
    left.record_left("s1", 10.0)
    left.record_left("s1", 11.0)
    left.record_arrival("s1", "a1", arrived_s)
    left.record_arrival("s2", "a2", arrived_s)
    found = list(left.violations(lambda _attempt, _at: is_in_touch))
    assert bool(found) is is_violation
