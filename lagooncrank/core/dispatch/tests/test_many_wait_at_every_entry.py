"""Every entry has more requests than the places that just came free."""

import pytest

from lagooncrank import model
from lagooncrank.core import dispatch

ENTRIES = 9
SLOTS = 13
TARGETS = [
    dispatch.Target(
        model.BackendServerId(f"s{n}"),
        "",
        model.ServiceName("writers"),
        model.FailureDomainId("a"),
        SLOTS,
    )
    for n in range(8)
]
PLACES = SLOTS * len(TARGETS)


def book(in_flight: int, own: int = 0) -> dispatch.InFlightTracker:
    """Returns what an entry knows: the same load at each target."""
    found = dispatch.InFlightTracker()
    for number in range(own):
        found.begin(f"s{number % len(TARGETS)}")
    found.publish()
    found.set_fleet_totals({t.server_id: in_flight for t in TARGETS})
    return found


@pytest.mark.parametrize("in_flight", [0, 6, 11])
@pytest.mark.parametrize(
    ("knows_other_loads", "parts"),
    [(False, 1), (True, dispatch.OVERCOMMIT_FACTOR)],
    ids=["all start at once", "others are known"],
)
def test_entry_takes_no_more_than_its_parts_of_the_free_places(
    in_flight: int, knows_other_loads: bool, parts: int
) -> None:
    free = PLACES - in_flight * len(TARGETS)
    room = book(in_flight).slot_budget(
        TARGETS, ENTRIES, knows_other_loads=knows_other_loads
    )
    assert 0 < room.slots * ENTRIES <= parts * free + ENTRIES


def test_entry_uses_again_what_it_frees_itself() -> None:
    loads = book(in_flight=SLOTS, own=16)
    before = loads.slot_budget(TARGETS, ENTRIES, knows_other_loads=True).slots
    loads.end("s0")
    loads.end("s1")
    assert before == 0
    assert (
        loads.slot_budget(TARGETS, ENTRIES, knows_other_loads=True).slots == 2
    )


def test_part_is_used_up_until_others_are_heard_of_again() -> None:
    loads = book(in_flight=4)
    part = loads.slot_budget(TARGETS, ENTRIES, knows_other_loads=True).slots
    for number in range(part):
        loads.begin(f"s{number % len(TARGETS)}")
    assert (
        loads.slot_budget(TARGETS, ENTRIES, knows_other_loads=True).slots == 0
    )
    loads.publish()
    loads.set_fleet_totals({t.server_id: 5 for t in TARGETS})
    assert loads.slot_budget(TARGETS, ENTRIES, knows_other_loads=True).slots > 0


def test_some_places_are_kept_for_requests_that_may_be_in_time() -> None:
    room = book(in_flight=0).slot_budget(
        TARGETS, entries=1, knows_other_loads=True
    )
    assert 0 < room.reserved < room.slots / 2
