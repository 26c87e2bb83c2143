"""More requests than places for some seconds: who is still in time."""

import collections
import random

import pytest

from lagooncrank import model
from lagooncrank.core import dispatch

POOL = (model.ServiceName("writers"), "large")
AIM_MS = 300
#: Requests that a group works on at once, and how long each takes.
PLACES = 26
WORK_MS = (200, 800)
TICK_MS = 10
BURST_MS = 4_000


def waiting(
    number: int, account: str = "", arrived_ms: int = 0, priority: int = 1
) -> dispatch.QueuedRequest:
    return dispatch.QueuedRequest(
        number, POOL, account, priority, arrived_ms, AIM_MS
    )


def served_in_time(
    order: str, per_s: float, accounts: dict[str, float]
) -> dict[str, float]:
    """Plays a burst; returns the part in time by client account.

    Args:
        order: Name of the order in which requests get their turn.
        per_s: Requests a second; the places are good for 52.
        accounts: Part of the requests by client account.
    """
    random_ = random.Random(3)
    line = dispatch.RequestQueue(dispatch.QUEUE_DISCIPLINES.get(order))
    running: list[tuple[int, str]] = []
    asked: collections.Counter[str] = collections.Counter()
    in_time: collections.Counter[str] = collections.Counter()
    for now_ms in range(0, BURST_MS, TICK_MS):
        if random_.random() < per_s * TICK_MS / 1_000:
            names = list(accounts)
            account = random_.choices(names, list(accounts.values()))[0]
            asked[account] += 1
            line.add(waiting(now_ms, account, now_ms))
        running = [r for r in running if r[0] > now_ms]
        while len(running) < PLACES:
            by_account = collections.Counter(a for _, a in running)
            request = line.pop_next(POOL, by_account, now_ms)
            if request is None:
                break
            work_ms = random_.randint(*WORK_MS)
            running.append((now_ms + work_ms, request.account))
            in_time[request.account] += request.can_meet_target(now_ms)
    return {a: in_time[a] / asked[a] for a in accounts}


def test_most_are_in_time_though_some_must_wait() -> None:
    """A fifth more than the places can take makes a fifth late, not all."""
    everyone = {"": 1.0}
    fresh_first = served_in_time("fresh-first", 62.0, everyone)[""]
    by_arrival = served_in_time("arrival", 62.0, everyone)[""]
    assert fresh_first > 0.75
    assert fresh_first > by_arrival


def test_small_accounts_are_in_time_whatever_a_large_one_sends() -> None:
    accounts = {"huge": 0.9, "small": 0.05, "other": 0.05}
    found = served_in_time("fresh-first", 95.0, accounts)
    assert found["small"] > 0.9
    assert found["other"] > 0.9


def test_nobody_waits_while_there_are_places() -> None:
    for order in ("arrival", "fresh-first"):
        assert served_in_time(order, 40.0, {"": 1.0})[""] > 0.98


@pytest.mark.parametrize(
    ("requests", "expected"),
    [
        pytest.param(
            [waiting(1, arrived_ms=0), waiting(2, arrived_ms=900)],
            2,
            id="one-in-time-before-a-late-one",
        ),
        pytest.param(
            [waiting(1, "busy", 900), waiting(2, "idle", 910)],
            2,
            id="account-with-less-running",
        ),
        pytest.param(
            [waiting(1, "idle", 900), waiting(2, "busy", 910, priority=0)],
            2,
            id="more-urgent-one",
        ),
        pytest.param(
            [waiting(1, arrived_ms=910), waiting(2, arrived_ms=900)],
            2,
            id="earlier-one",
        ),
    ],
)
def test_order_of_turns(
    requests: list[dispatch.QueuedRequest], expected: int
) -> None:
    line = dispatch.RequestQueue(dispatch.QUEUE_DISCIPLINES.get("fresh-first"))
    for request in requests:
        line.add(request)
    found = line.pop_next(POOL, {"busy": 3}, 1_000)
    assert found is not None
    assert found.number == expected


def test_request_whose_caller_has_left_gets_no_turn() -> None:
    line = dispatch.RequestQueue(dispatch.QUEUE_DISCIPLINES.get("fresh-first"))
    line.add(waiting(1))
    line.remove(waiting(1))
    line.remove(waiting(1))
    assert line.pop_next(POOL, {}, 0) is None
    assert not line.pools()


def test_place_that_is_kept_is_not_given_to_a_late_request() -> None:
    line = dispatch.RequestQueue(dispatch.QUEUE_DISCIPLINES.get("fresh-first"))
    line.add(waiting(1, arrived_ms=0))
    assert line.pop_next(POOL, {}, 1_000, on_time_only=True) is None
    line.add(waiting(2, arrived_ms=950))
    found = line.pop_next(POOL, {}, 1_000, on_time_only=True)
    assert found is not None
    assert found.number == 2
