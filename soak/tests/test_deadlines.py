"""The check of the time that servers are given."""

import pytest

from soak import _deadlines

REQUESTS = 21


# Guards against: servers go on with requests whose callers have given up.
@pytest.mark.parametrize(
    ("arrivals", "is_violation"),
    [
        pytest.param([(0.0, 1_000)], False, id="as-stated"),
        pytest.param([(0.2, 1_200)], False, id="within-slack"),
        pytest.param([(0.0, None)], True, id="no-limit"),
        pytest.param([(0.0, 1_600)], True, id="too-long"),
        pytest.param([(0.0, 1_000), (0.8, 200)], False, id="repeat"),
        pytest.param([(0.0, 1_000), (0.8, 1_000)], True, id="repeat-too-long"),
        pytest.param(
            [(1.0, 900), (1.6, 700)], False, id="repeat-after-a-late-first"
        ),
    ],
)
def test_deadlines_at_servers(
    arrivals: list[tuple[float, int | None]], is_violation: bool
) -> None:
    deadlines = _deadlines.Deadlines()
    for number in range(REQUESTS):
        attempt_id = f"a{number}"
        deadlines.record_request(attempt_id, 1.0, 0.0)
        for at_s, limit_ms in arrivals:
            deadlines.record_arrival(attempt_id, limit_ms, at_s)
    assert bool(list(deadlines.violations())) is is_violation
