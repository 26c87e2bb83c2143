"""A large account floods servers that take few requests in all."""

import collections
import random

import pytest

from lagooncrank import model
from lagooncrank.core import dispatch

POOL = (model.ServiceName("writers"), "large")
TARGET_MS = 300
TICK_MS = 10
#: Longest wait before a request is refused.
PATIENCE_MS = 1_000
END_MS = 60_000
#: Permits per second of one entry.
PERMITS_PER_S = 4.0
#: Requests per second by account; the small ones need half of their shares.
DEMAND = {"large": 40.0, "small": 0.8, "smaller": 0.4}


def served_fractions(discipline: str) -> dict[str, float]:
    """Plays a minute; returns the fraction served by client account."""
    random_ = random.Random(7)
    queue = dispatch.RequestQueue(dispatch.QUEUE_DISCIPLINES.get("arrival"))
    order = dispatch.QUEUE_DISCIPLINES.get(discipline)
    recent_use = dispatch.RecentUse()
    waiting: collections.deque[dispatch.QueuedRequest] = collections.deque()
    arrived: collections.Counter[str] = collections.Counter()
    served: collections.Counter[str] = collections.Counter()
    number = 0
    permits = 0.0
    for now_ms in range(0, END_MS, TICK_MS):
        for account, per_s in DEMAND.items():
            if random_.random() < per_s * TICK_MS / 1_000:
                number += 1
                arrived[account] += 1
                request = dispatch.QueuedRequest(
                    number, POOL, account, 1, now_ms, TARGET_MS
                )
                queue.add(request)
                waiting.append(request)
        while waiting and now_ms - waiting[0].arrived_ms >= PATIENCE_MS:
            queue.remove(waiting.popleft())
        permits += PERMITS_PER_S * TICK_MS / 1_000
        if permits < 1:
            continue
        next_request = queue.pop_next(
            POOL, recent_use.counts(now_ms), now_ms, discipline=order
        )
        if next_request is not None:
            permits -= 1
            served[next_request.account] += 1
            recent_use.record(next_request.account, now_ms)
    return {a: served[a] / arrived[a] for a in DEMAND}


def test_small_accounts_are_served() -> None:
    fractions = served_fractions("fewest-recent")
    assert fractions["small"] >= 0.95
    assert fractions["smaller"] >= 0.95
    # What the small ones leave goes to the large one.
    assert fractions["large"] * DEMAND["large"] >= 2.5


@pytest.mark.parametrize("discipline", ["arrival", "fresh-first"])
def test_other_orders_leave_small_accounts_behind(discipline: str) -> None:
    assert served_fractions(discipline)["small"] < 0.8


def test_recent_use_forgets_after_a_while() -> None:
    recent_use = dispatch.RecentUse()
    recent_use.record("a", 0)
    recent_use.record("a", 3_000)
    assert recent_use.counts(4_000) == {"a": 2}
    assert recent_use.counts(7_000) == {"a": 1}
    assert recent_use.counts(9_000) == {}
    assert not recent_use._windows
