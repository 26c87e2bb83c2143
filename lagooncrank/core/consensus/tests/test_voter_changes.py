import pytest

from lagooncrank import model
from lagooncrank.core import consensus
from lagooncrank.core.consensus import _voter_changes


def voter(name: str) -> consensus.Voter:
    return consensus.Voter(model.NodeId(name[0]), name)


A, B, C, C2, D = (voter(name) for name in ("a1", "b1", "c1", "c2", "d1"))
FULL = consensus.VoterSet((A, B, C))
LEARNING = consensus.VoterSet((A, B, C), (C2,))
WITHOUT_C = consensus.VoterSet((A, B), (C2,))

CASES = {
    "nothing_to_do": (FULL, "abc", (), {A, B, C}, None),
    "unwanted_node_does_not_join": (FULL, "abc", (D,), {A, B, C, D}, None),
    "new_disk_first_learns": (FULL, "abc", (C2,), {A, B, C2}, LEARNING),
    "silent_learner_waits": (LEARNING, "abc", (), {A, B}, None),
    "old_disk_leaves": (LEARNING, "abc", (), {A, B, C2}, WITHOUT_C),
    "no_voter_leaves_without_a_quorum_of_the_rest": (
        LEARNING,
        "abc",
        (),
        {A, C2},
        None,
    ),
    "learner_votes_once_its_old_disk_left": (
        WITHOUT_C,
        "abc",
        (),
        {A, B, C2},
        consensus.VoterSet((A, B, C2)),
    ),
    "added_node_votes_before_another_leaves": (
        consensus.VoterSet((A, B, C), (D,)),
        "abd",
        (),
        {A, B, C, D},
        consensus.VoterSet((A, B, C, D)),
    ),
    "unwanted_learner_leaves": (
        consensus.VoterSet((A, B, C), (D,)),
        "abc",
        (),
        {A, B, C, D},
        FULL,
    ),
    "unwanted_voter_leaves": (
        consensus.VoterSet((A, B, C, D)),
        "abd",
        (),
        {A, B, D},
        consensus.VoterSet((A, B, D)),
    ),
}


@pytest.mark.parametrize(
    ("current", "target_node_ids", "joining", "responsive", "change"),
    CASES.values(),
    ids=CASES.keys(),
)
def test_next_change(
    current: consensus.VoterSet,
    target_node_ids: str,
    joining: tuple[consensus.Voter, ...],
    responsive: set[consensus.Voter],
    change: consensus.VoterSet | None,
) -> None:
    node_ids = [model.NodeId(n) for n in target_node_ids]
    found = _voter_changes.next_voter_set(
        current, node_ids, joining, lambda _: True, responsive.__contains__
    )
    assert found == change


def test_learner_that_lacks_entries_waits() -> None:
    found = _voter_changes.next_voter_set(
        LEARNING, [model.NodeId("c")], (), lambda _: False, lambda _: True
    )
    assert found is None
