"""Lookup of entries while no control node runs for some seconds.

When only control nodes answered lookups, a caller whose list of addresses
expired during the outage waited one second for each of three nodes.
"""

import pytest

from lagooncrank import model
from lagooncrank.core import fleet

DOMAIN = model.FailureDomainId("a")
ENTRIES = tuple(
    fleet.OpenEntry(f"10.1.0.{number}:80", DOMAIN) for number in range(6)
)
RESTART_MS = 3_000


def cached_list() -> fleet.CachedEntryList:
    found = fleet.CachedEntryList()
    found.update(ENTRIES, now_ms=0)
    return found


def test_list_is_returned_without_any_control_node() -> None:
    assert cached_list().entries_for_callers(RESTART_MS) == ENTRIES


def test_stopping_entry_is_left_out() -> None:
    stopping = ENTRIES[2].address
    returned = cached_list().entries_for_callers(100, stopping)
    assert stopping not in {entry.address for entry in returned}
    assert len(returned) == len(ENTRIES) - 1


@pytest.mark.parametrize("now_ms", [10_001, 60_000])
def test_expired_list_is_not_returned(now_ms: int) -> None:
    assert not cached_list().entries_for_callers(now_ms)


def test_list_is_empty_before_the_first_update() -> None:
    assert not fleet.CachedEntryList().entries_for_callers(100)


def test_entry_is_open_until_its_lease_expires() -> None:
    """Control nodes pass on at once that a node is no longer open."""
    nodes = fleet.NodeTable(lease_ms=1_000)
    notice = fleet.NodeNotice(
        model.NodeId("n1"),
        model.NodeRole.ENTRY,
        DOMAIN,
        ENTRIES[1].address,
        True,
        incarnation=1,
        sequence=1,
    )
    assert not nodes.is_open(notice.node_id, 0)
    nodes.put(notice, 0)
    assert nodes.is_open(notice.node_id, 999)
    assert not nodes.is_open(notice.node_id, 1_000)
