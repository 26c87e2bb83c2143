"""What a node without a disk is sent when it begins to follow another."""

import pytest

from lagooncrank import model
from lagooncrank.core import consensus
from lagooncrank.core.consensus import _relay

ENTRY = model.NodeId("entry")
VOTER = consensus.Voter(model.NodeId("voter"), "disk")
#: A large document of an operator.
DOCUMENT_BYTES = 32_768
FOLLOWER_TIMEOUT_MS = 2_000


def publisher(documents: int) -> _relay.EntryPublisher:
    found = _relay.EntryPublisher(1, FOLLOWER_TIMEOUT_MS)
    for index in range(1, documents + 1):
        data = bytes(DOCUMENT_BYTES)
        found.add(consensus.Entry(index, 1, data))
    return found


@pytest.mark.parametrize(
    ("documents", "next_index", "expected"),
    [
        pytest.param(20, 1, None, id="state-is-less-than-all-entries"),
        pytest.param(1, 1, 1, id="one-document-is-all-there-is"),
        pytest.param(20, 19, 2, id="follower-that-lags-a-little"),
        pytest.param(3, 4, 0, id="follower-that-lacks-nothing"),
    ],
)
def test_blank_follower_is_sent_whichever_is_less(
    documents: int, next_index: int, expected: int | None
) -> None:
    """Twenty documents stand in the log and one of them is in force."""
    entries = publisher(documents).entries_for(
        ENTRY, next_index, 0, lambda: DOCUMENT_BYTES
    )
    found = None if entries is None else len(entries)
    assert found == expected


def test_all_entries_after_a_loss_of_power_take_little_of_a_control_node() -> (
    None
):
    """Nine entries ask at once for a log that the state sums up."""
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
