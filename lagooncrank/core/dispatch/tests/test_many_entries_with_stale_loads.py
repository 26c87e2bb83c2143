"""Many entries that know the load as of a moment ago, all the same.

Each sends to what looks least loaded; the naive rule sends all requests of
that moment to one target.
"""

import random

import pytest

from lagooncrank import model
from lagooncrank.core import dispatch

SERVICE = model.ServiceName("writers")
TARGETS = [
    dispatch.Target(
        model.BackendServerId(f"s{n}"),
        f"s{n}:80",
        SERVICE,
        model.FailureDomainId("a"),
        13,
    )
    for n in range(16)
]
#: Requests that one target works on at once.
SLOTS = 13
#: A tick is the time between two requests at 72 a second: a request takes
#: 1.4 s, and entries hear of each other's load within 0.35 s.
REQUEST_TICKS = 100
STALE_TICKS = 25


def least_loaded(
    loads: dispatch.InFlightTracker, random_: random.Random
) -> dispatch.Target:
    fewest = min(loads.of(t.server_id) for t in TARGETS)
    best = [t for t in TARGETS if loads.of(t.server_id) == fewest]
    return best[0]


def two_by_lot(
    loads: dispatch.InFlightTracker, random_: random.Random
) -> dispatch.Target:
    target = dispatch.choose_target(
        TARGETS,
        loads,
        (),
        (),
        model.FailureDomainId("a"),
        (random_.random(), random_.random()),
    )
    assert target is not None
    return target


def most_at_one(entries: int, choose: object) -> int:
    """Plays a steady load; returns the most requests at one target."""
    random_ = random.Random(7)
    books = [dispatch.InFlightTracker() for _ in range(entries)]
    running: list[tuple[int, dispatch.InFlightTracker, str]] = []
    most = 0
    for tick in range(3_000):
        for end, book, server_id in running:
            if end == tick:
                book.end(server_id)
        running = [r for r in running if r[0] > tick]
        if tick % STALE_TICKS == 0:
            total: dict[str, int] = {}
            for book in books:
                for server_id, count in book.publish().items():
                    total[server_id] = total.get(server_id, 0) + count
            for book in books:
                book.set_fleet_totals(total)
        book = random_.choice(books)
        target = choose(book, random_)  # type: ignore[operator]
        book.begin(target.server_id)
        running.append((tick + REQUEST_TICKS, book, target.server_id))
        at_once: dict[str, int] = {}
        for _, _, server_id in running:
            at_once[server_id] = at_once.get(server_id, 0) + 1
        most = max(most, *at_once.values())
    return most


@pytest.mark.parametrize("entries", [9, 86])
def test_no_target_gets_more_than_it_works_on_at_once(entries: int) -> None:
    assert most_at_one(entries, two_by_lot) <= SLOTS
    assert most_at_one(entries, least_loaded) > SLOTS
