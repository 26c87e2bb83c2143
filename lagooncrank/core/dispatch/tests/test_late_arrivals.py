"""Attempts that silent servers read late."""

from lagooncrank import model
from lagooncrank.core import dispatch
from lagooncrank.core.dispatch import _late_arrivals

DESK = model.ServiceName("desk")
WRITERS = model.ServiceName("writers")


def test_attempts_arrive_when_their_server_goes_on() -> None:
    late = dispatch.LateArrivals()
    late.add("s1", DESK, 0)
    late.add("s1", DESK, 100)
    late.add("s1", WRITERS, 200)
    late.add("s2", DESK, 300)
    assert late.take("s1", 1_000) == {DESK: 2, WRITERS: 1}
    assert not late.take("s1", 1_000)
    assert late.take("s2", 1_000) == {DESK: 1}


# Guards against: a server that comes back after a long time is charged for
# attempts that went down with it, and they are remembered for ever.
def test_old_attempts_are_forgotten() -> None:
    late = dispatch.LateArrivals()
    late.add("s1", DESK, 0)
    late.add("s2", DESK, 0)
    assert not late.take("s1", _late_arrivals.MAX_AGE_MS)
    late.add("s3", DESK, _late_arrivals.MAX_AGE_MS)
    assert not late.take("s2", 0)
