"""All control nodes lose power for some seconds; callers still look up.

When only control nodes answered, each caller whose list of addresses ran out
meanwhile spent a second at each of three silent nodes.
"""

import pytest

from lagooncrank import model
from lagooncrank.core import fleet

NEAR = model.FailureDomainId("a")
ENTRIES = tuple(
    fleet.OpenEntry(f"10.1.0.{number}:80", NEAR) for number in range(6)
)
STARTS_AGAIN_MS = 3_000


def heard() -> fleet.CachedEntryList:
    found = fleet.CachedEntryList()
    found.update(ENTRIES, now_ms=0)
    return found


def test_entries_name_each_other_without_any_control_node() -> None:
    assert heard().entries_for_callers(STARTS_AGAIN_MS) == ENTRIES


def test_entry_that_stops_is_named_no_more() -> None:
    stopping = ENTRIES[2].address
    named = heard().entries_for_callers(100, stopping)
    assert stopping not in {entry.address for entry in named}
    assert len(named) == len(ENTRIES) - 1


@pytest.mark.parametrize("now_ms", [10_001, 60_000])
def test_old_list_is_not_given_out(now_ms: int) -> None:
    assert not heard().entries_for_callers(now_ms)


def test_entry_that_never_heard_of_others_names_none() -> None:
    assert not fleet.CachedEntryList().entries_for_callers(100)


def test_entry_that_says_it_stops_is_known_to_have_been_open() -> None:
    """Control nodes pass on at once that an entry stops."""
    nodes = fleet.NodeTable(lease_ms=1_000)
    notice = fleet.NodeNotice(
        model.NodeId("n1"),
        model.NodeRole.ENTRY,
        NEAR,
        ENTRIES[1].address,
        True,
        incarnation=1,
        sequence=1,
    )
    assert not nodes.is_open(notice.node_id, 0)
    nodes.put(notice, 0)
    assert nodes.is_open(notice.node_id, 999)
    assert not nodes.is_open(notice.node_id, 1_000)
