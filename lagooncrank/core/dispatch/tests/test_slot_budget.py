"""Slot budgets when every entry has more requests than there are free slots."""

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
ALL_SLOTS = SLOTS * len(TARGETS)


def tracker(in_flight: int, own: int = 0) -> dispatch.InFlightTracker:
    """Returns an entry's tracker that knows the same load at each target."""
    found = dispatch.InFlightTracker()
    for number in range(own):
        found.begin(f"s{number % len(TARGETS)}")
    found.publish()
    found.set_fleet_totals({t.server_id: in_flight for t in TARGETS})
    return found


@pytest.mark.parametrize("in_flight", [0, 6, 11])
@pytest.mark.parametrize(
    ("knows_other_loads", "factor"),
    [(False, 1), (True, dispatch.OVERCOMMIT_FACTOR)],
    ids=["other-loads-unknown", "other-loads-known"],
)
def test_entry_uses_at_most_its_share_of_the_free_slots(
    in_flight: int, knows_other_loads: bool, factor: int
) -> None:
    free = ALL_SLOTS - in_flight * len(TARGETS)
    budget = tracker(in_flight).slot_budget(
        TARGETS, ENTRIES, knows_other_loads=knows_other_loads
    )
    assert 0 < budget.slots * ENTRIES <= factor * free + ENTRIES


def test_entry_reuses_slots_that_its_requests_free() -> None:
    loads = tracker(in_flight=SLOTS, own=16)
    before = loads.slot_budget(TARGETS, ENTRIES, knows_other_loads=True).slots
    loads.end("s0")
    loads.end("s1")
    assert before == 0
    assert (
        loads.slot_budget(TARGETS, ENTRIES, knows_other_loads=True).slots == 2
    )


def test_share_is_used_up_until_new_totals_arrive() -> None:
    loads = tracker(in_flight=4)
    share = loads.slot_budget(TARGETS, ENTRIES, knows_other_loads=True).slots
    for number in range(share):
        loads.begin(f"s{number % len(TARGETS)}")
    assert (
        loads.slot_budget(TARGETS, ENTRIES, knows_other_loads=True).slots == 0
    )
    loads.publish()
    loads.set_fleet_totals({t.server_id: 5 for t in TARGETS})
    assert loads.slot_budget(TARGETS, ENTRIES, knows_other_loads=True).slots > 0


def test_some_slots_are_reserved_for_on_time_requests() -> None:
    budget = tracker(in_flight=0).slot_budget(
        TARGETS, entry_count=1, knows_other_loads=True
    )
    assert 0 < budget.reserved < budget.slots / 2
