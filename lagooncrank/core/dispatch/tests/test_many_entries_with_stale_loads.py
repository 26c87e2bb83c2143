"""Many entries that act on the same outdated loads.

If every entry sends to the target that looks least loaded, all requests of an
update interval go to that one target and overload it.
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
#: Number of requests that one target processes concurrently.
SLOTS = 13
#: A tick is the time between two requests at 72 requests per second. A request
#: takes 1.4 s, and entries receive each other's loads within 0.35 s.
REQUEST_TICKS = 100
UPDATE_TICKS = 25


def least_loaded(
    loads: dispatch.InFlightTracker, random_: random.Random
) -> dispatch.Target:
    fewest = min(loads.in_flight(t.server_id) for t in TARGETS)
    best = [t for t in TARGETS if loads.in_flight(t.server_id) == fewest]
    return best[0]


def two_random_choices(
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


def peak_load(entries: int, choose: object) -> int:
    """Simulates a steady load; returns the highest load of any target."""
    random_ = random.Random(7)
    trackers = [dispatch.InFlightTracker() for _ in range(entries)]
    running: list[tuple[int, dispatch.InFlightTracker, str]] = []
    peak = 0
    for tick in range(3_000):
        for end, tracker, server_id in running:
            if end == tick:
                tracker.end(server_id)
        running = [r for r in running if r[0] > tick]
        if tick % UPDATE_TICKS == 0:
            total: dict[str, int] = {}
            for tracker in trackers:
                for server_id, count in tracker.publish().items():
                    total[server_id] = total.get(server_id, 0) + count
            for tracker in trackers:
                tracker.set_fleet_totals(total)
        tracker = random_.choice(trackers)
        target = choose(tracker, random_)  # type: ignore[operator]
        tracker.begin(target.server_id)
        running.append((tick + REQUEST_TICKS, tracker, target.server_id))
        by_server: dict[str, int] = {}
        for _, _, server_id in running:
            by_server[server_id] = by_server.get(server_id, 0) + 1
        peak = max(peak, *by_server.values())
    return peak


@pytest.mark.parametrize("entries", [9, 86])
def test_stale_loads_do_not_overload_a_target(entries: int) -> None:
    assert peak_load(entries, two_random_choices) <= SLOTS
    assert peak_load(entries, least_loaded) > SLOTS
