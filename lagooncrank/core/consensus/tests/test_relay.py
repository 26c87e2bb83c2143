"""Data sent to a node without a disk when it starts to follow another."""

import pytest

from lagooncrank import model
from lagooncrank.core import consensus
from lagooncrank.core.consensus import _relay

ENTRY = model.NodeId("entry")
VOTER = consensus.Voter(model.NodeId("voter"), "disk")
#: Size of a large configuration document.
DOCUMENT_BYTES = 32_768
FOLLOWER_TIMEOUT_MS = 2_000


def publisher(documents: int) -> _relay.EntryPublisher:
    entry_publisher = _relay.EntryPublisher(1, FOLLOWER_TIMEOUT_MS)
    for index in range(1, documents + 1):
        data = bytes(DOCUMENT_BYTES)
        entry_publisher.add(consensus.Entry(index, 1, data))
    return entry_publisher


@pytest.mark.parametrize(
    ("documents", "next_index", "expected"),
    [
        pytest.param(20, 1, None, id="state-is-smaller-than-all-entries"),
        pytest.param(1, 1, 1, id="single-document"),
        pytest.param(20, 19, 2, id="follower-that-lags-slightly"),
        pytest.param(3, 4, 0, id="follower-that-lacks-nothing"),
    ],
)
def test_follower_is_sent_the_smaller_of_state_and_entries(
    documents: int, next_index: int, expected: int | None
) -> None:
    """The log holds all documents, but only the last of them is in force."""
    entries = publisher(documents).entries_for(
        ENTRY, next_index, 0, lambda: DOCUMENT_BYTES
    )
    entry_count = None if entries is None else len(entries)
    assert entry_count == expected


def test_entries_are_sent_the_state_instead_of_the_log_after_a_power_loss() -> (
    None
):
    """Nine entries poll at once; the state is far smaller than the log."""
    source = publisher(31)
    sent_bytes = 0
    for number in range(9):
        node_id = model.NodeId(f"entry-{number}")
        entries = source.entries_for(node_id, 1, 0, lambda: DOCUMENT_BYTES)
        if entries is None:
            sent_bytes += DOCUMENT_BYTES
        else:
            sent_bytes += sum(len(e.data) for e in entries)
    assert sent_bytes == 9 * DOCUMENT_BYTES
