"""Order of requests in a burst that exceeds the slots for some seconds."""

import collections
import random

import pytest

from lagooncrank import model
from lagooncrank.core import dispatch

POOL = (model.ServiceName("writers"), "large")
TARGET_MS = 300
#: Number of slots, and the range of a request's service time.
SLOTS = 26
SERVICE_TIME_MS = (200, 800)
TICK_MS = 10
BURST_MS = 4_000


def queued(
    number: int, account: str = "", arrived_ms: int = 0, priority: int = 1
) -> dispatch.QueuedRequest:
    return dispatch.QueuedRequest(
        number, POOL, account, priority, arrived_ms, TARGET_MS
    )


def on_time_fractions(
    discipline: str, requests_per_s: float, accounts: dict[str, float]
) -> dict[str, float]:
    """Simulates a burst; returns the fraction on time by client account.

    Args:
        discipline: Name of the queue discipline.
        requests_per_s: Request rate; the slots serve 52 requests per second.
        accounts: Fraction of the requests by client account.
    """
    random_ = random.Random(3)
    queue = dispatch.RequestQueue(dispatch.QUEUE_DISCIPLINES.get(discipline))
    running: list[tuple[int, str]] = []
    arrived: collections.Counter[str] = collections.Counter()
    on_time: collections.Counter[str] = collections.Counter()
    for now_ms in range(0, BURST_MS, TICK_MS):
        if random_.random() < requests_per_s * TICK_MS / 1_000:
            names = list(accounts)
            account = random_.choices(names, list(accounts.values()))[0]
            arrived[account] += 1
            queue.add(queued(now_ms, account, now_ms))
        running = [r for r in running if r[0] > now_ms]
        while len(running) < SLOTS:
            by_account = collections.Counter(a for _, a in running)
            request = queue.pop_next(POOL, by_account, now_ms)
            if request is None:
                break
            service_time_ms = random_.randint(*SERVICE_TIME_MS)
            running.append((now_ms + service_time_ms, request.account))
            on_time[request.account] += request.can_meet_target(now_ms)
    return {a: on_time[a] / arrived[a] for a in accounts}


def test_overload_delays_only_the_excess_requests() -> None:
    """Under 20 % overload only the excess is late, not every request."""
    everyone = {"": 1.0}
    fresh_first = on_time_fractions("fresh-first", 62.0, everyone)[""]
    by_arrival = on_time_fractions("arrival", 62.0, everyone)[""]
    assert fresh_first > 0.75
    assert fresh_first > by_arrival


def test_large_account_does_not_delay_small_accounts() -> None:
    accounts = {"huge": 0.9, "small": 0.05, "other": 0.05}
    found = on_time_fractions("fresh-first", 95.0, accounts)
    assert found["small"] > 0.9
    assert found["other"] > 0.9


def test_requests_are_on_time_below_capacity() -> None:
    for discipline in ("arrival", "fresh-first"):
        assert on_time_fractions(discipline, 40.0, {"": 1.0})[""] > 0.98


@pytest.mark.parametrize(
    ("requests", "expected"),
    [
        pytest.param(
            [queued(1, arrived_ms=0), queued(2, arrived_ms=900)],
            2,
            id="on-time-request-before-a-late-one",
        ),
        pytest.param(
            [queued(1, "busy", 900), queued(2, "idle", 910)],
            2,
            id="account-with-fewer-running-requests",
        ),
        pytest.param(
            [queued(1, "idle", 900), queued(2, "busy", 910, priority=0)],
            2,
            id="more-urgent-request",
        ),
        pytest.param(
            [queued(1, arrived_ms=910), queued(2, arrived_ms=900)],
            2,
            id="earlier-request",
        ),
    ],
)
def test_order_of_requests(
    requests: list[dispatch.QueuedRequest], expected: int
) -> None:
    queue = dispatch.RequestQueue(dispatch.QUEUE_DISCIPLINES.get("fresh-first"))
    for request in requests:
        queue.add(request)
    found = queue.pop_next(POOL, {"busy": 3}, 1_000)
    assert found is not None
    assert found.number == expected


def test_removed_request_is_not_returned() -> None:
    queue = dispatch.RequestQueue(dispatch.QUEUE_DISCIPLINES.get("fresh-first"))
    queue.add(queued(1))
    queue.remove(queued(1))
    queue.remove(queued(1))
    assert queue.pop_next(POOL, {}, 0) is None
    assert not queue.pools()


def test_reserved_slot_is_not_granted_to_a_late_request() -> None:
    queue = dispatch.RequestQueue(dispatch.QUEUE_DISCIPLINES.get("fresh-first"))
    queue.add(queued(1, arrived_ms=0))
    assert queue.pop_next(POOL, {}, 1_000, on_time_only=True) is None
    queue.add(queued(2, arrived_ms=950))
    found = queue.pop_next(POOL, {}, 1_000, on_time_only=True)
    assert found is not None
    assert found.number == 2
