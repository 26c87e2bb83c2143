"""Nine entries send to groups whose slots are mostly taken.

A request beyond the slots of a group waits there and is late. The older the
loads that entries know of, the more requests meet a full group while another
one has free slots.
"""

import random

from lagooncrank import model
from lagooncrank.core import dispatch

ENTRIES = 9
SLOTS = 13
TARGETS = [
    dispatch.Target(
        model.BackendServerId(f"s{n}"),
        f"s{n}:80",
        model.ServiceName("writers"),
        model.FailureDomainId("a"),
        SLOTS,
    )
    for n in range(7)
]
#: A tick is 10 ms. Requests take 0.2 to 2.0 s and fill 75 % of the slots.
REQUEST_TICKS = (20, 200)
REQUESTS_PER_TICK = 0.75 * SLOTS * len(TARGETS) / 110
TICKS = 6_000


def overfull_share(update_ticks: int) -> float:
    """Returns the share of requests that are sent to a full group."""
    random_ = random.Random(3)
    trackers = [dispatch.InFlightTracker() for _ in range(ENTRIES)]
    running: list[tuple[int, dispatch.InFlightTracker, str]] = []
    overfull = requests = 0
    for tick in range(TICKS):
        for end, tracker, server_id in running:
            if end == tick:
                tracker.end(server_id)
        running = [r for r in running if r[0] > tick]
        if tick % update_ticks == 0:
            totals = in_flight_totals([t.publish() for t in trackers])
            for tracker in trackers:
                tracker.set_fleet_totals(totals)
        if random_.random() >= REQUESTS_PER_TICK:
            continue
        tracker = random_.choice(trackers)
        target = choose(tracker, random_)
        requests += 1
        overfull += sum(r[2] == target.server_id for r in running) >= SLOTS
        tracker.begin(target.server_id)
        end = tick + random_.randint(*REQUEST_TICKS)
        running.append((end, tracker, target.server_id))
    return overfull / requests


def in_flight_totals(published: list[dict[str, int]]) -> dict[str, int]:
    totals: dict[str, int] = {}
    for in_flight in published:
        for server_id, count in in_flight.items():
            totals[server_id] = totals.get(server_id, 0) + count
    return totals


def choose(
    tracker: dispatch.InFlightTracker, random_: random.Random
) -> dispatch.Target:
    target = dispatch.choose_target(
        TARGETS,
        tracker,
        (),
        (),
        model.FailureDomainId("a"),
        (random_.random(), random_.random()),
        has_accurate_loads=True,
    )
    assert target is not None
    return target


def test_fresh_loads_halve_the_requests_that_meet_a_full_group() -> None:
    assert overfull_share(10) < overfull_share(30) / 2
