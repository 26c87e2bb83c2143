import pytest

from soak import _left_callers


# Guards against a check that sees nothing, and one that counts what was still
# in flight.
@pytest.mark.parametrize(
    ("arrivals_s", "violations"),
    [([0.4] * 9, 0), ([0.6] * 3, 0), ([0.6] * 4, 1), ([0.4, *[2.0] * 4], 1)],
)
def test_late_arrivals_of_left_callers_are_counted(
    arrivals_s: list[float], violations: int
) -> None:
    left = _left_callers.LeftCallers()
    for number, arrived_s in enumerate(arrivals_s):
        left.record_left(f"g{number}", 10.0)
        left.record_arrival(f"g{number}", 10.0 + arrived_s)
    left.record_arrival("stays", 20.0)
    found = list(left.violations(lambda *_: True))
    assert len(found) == violations
    assert not list(left.violations(lambda *_: False))
