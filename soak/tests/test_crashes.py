"""The check of requests that crash servers."""

import pytest

from soak import _crashes

LATE_S = 14.0


# Guards against: a request that has crashed several servers runs on and on,
# unseen.
@pytest.mark.parametrize(
    ("kind", "crashes", "arrivals", "is_violation"),
    [
        pytest.param(_crashes.REQUEST, 2, 9, False, id="not-known-yet"),
        pytest.param(_crashes.REQUEST, 3, 3, False, id="few"),
        pytest.param(_crashes.REQUEST, 3, 4, True, id="many"),
        pytest.param(_crashes.PART, 4, 9, False, id="part-not-known-yet"),
        pytest.param(_crashes.PART, 5, 4, True, id="part"),
    ],
)
def test_arrivals_of_what_crashed_servers_at_10_s(
    kind: _crashes.CrashKind, crashes: int, arrivals: int, is_violation: bool
) -> None:
    seen = _crashes.Crashes()
    for _ in range(crashes):
        seen.record_crash(f"{kind.prefix}-1", 10.0)
    for number in range(arrivals):
        seen.record_arrival(f"{kind.prefix}-{number}", LATE_S)
    seen.record_arrival("a1", LATE_S)
    found = list(seen.violations(lambda _attempt, _at: True))
    assert bool(found) is is_violation
    # Within the time that entries have to learn of it, nothing counts.
    assert not list(seen.violations(lambda _attempt, _at: False))
