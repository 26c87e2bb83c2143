"""Number of entries that share what the system may use."""

from lagooncrank.core import fleet


# Guards against: an entry took its first, incomplete summary for the number of
# entries, and used the share of many others.
def test_number_is_unknown_until_summaries_are_complete() -> None:
    sharing = fleet.SharingEntries()
    assert sharing.count(0) is None
    sharing.record(1, 1_000)
    sharing.record(8, 1_000 + fleet.SETTLING_MS - 1)
    # Time alone does not make a summary complete.
    assert sharing.count(1_000 + 2 * fleet.SETTLING_MS) is None
    sharing.record(9, 1_000 + fleet.SETTLING_MS)
    assert sharing.count(1_000 + fleet.SETTLING_MS) == 9


# Guards against: an entry that the control nodes did not list yet divided by
# nothing, and used what all entries share.
def test_summaries_without_entries_say_nothing() -> None:
    sharing = fleet.SharingEntries()
    sharing.record(0, 0)
    sharing.record(0, fleet.SETTLING_MS)
    assert sharing.count(fleet.SETTLING_MS) is None


def test_number_that_a_control_node_remembers_is_known_at_once() -> None:
    sharing = fleet.SharingEntries()
    sharing.remember(9, 1_000)
    sharing.record(1, 1_000)
    assert sharing.count(1_000) == 9


def test_unknown_number_is_not_remembered() -> None:
    sharing = fleet.SharingEntries()
    sharing.remember(0, 1_000)
    assert sharing.count(1_000) is None


# Guards against: entries that stopped still served, or were cut off, and the
# others took over their shares.
def test_highest_number_is_remembered_for_a_time() -> None:
    sharing = fleet.SharingEntries()
    sharing.record(9, 0)
    sharing.record(6, 1_000)
    sharing.record(3, 3_000)
    assert sharing.count(fleet.MEMORY_MS) == 9
    assert sharing.count(fleet.MEMORY_MS + 1) == 6
    sharing.record(4, fleet.MEMORY_MS + 1_500)
    assert sharing.count(fleet.MEMORY_MS + 1_500) == 4
