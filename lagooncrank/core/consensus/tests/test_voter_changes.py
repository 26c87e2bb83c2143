import pytest

from lagooncrank import model
from lagooncrank.core import consensus
from lagooncrank.core.consensus import _voter_changes


def voter(name: str) -> consensus.Voter:
    return consensus.Voter(model.NodeId(name[0]), name)


A, B, C, C2, D = (voter(name) for name in ("a1", "b1", "c1", "c2", "d1"))
THREE_VOTERS = consensus.VoterSet((A, B, C))
WITH_LEARNER = consensus.VoterSet((A, B, C), (C2,))
WITHOUT_C = consensus.VoterSet((A, B), (C2,))

CASES = {
    "no_change_needed": (THREE_VOTERS, "abc", (), {A, B, C}, None),
    "untargeted_node_does_not_join": (
        THREE_VOTERS,
        "abc",
        (D,),
        {A, B, C, D},
        None,
    ),
    "new_disk_joins_as_a_learner": (
        THREE_VOTERS,
        "abc",
        (C2,),
        {A, B, C2},
        WITH_LEARNER,
    ),
    "unresponsive_learner_is_not_promoted": (
        WITH_LEARNER,
        "abc",
        (),
        {A, B},
        None,
    ),
    "old_disk_is_removed": (WITH_LEARNER, "abc", (), {A, B, C2}, WITHOUT_C),
    "no_voter_is_removed_without_a_quorum_of_the_rest": (
        WITH_LEARNER,
        "abc",
        (),
        {A, C2},
        None,
    ),
    "learner_is_promoted_after_its_old_disk_is_removed": (
        WITHOUT_C,
        "abc",
        (),
        {A, B, C2},
        consensus.VoterSet((A, B, C2)),
    ),
    "added_node_is_promoted_before_another_is_removed": (
        consensus.VoterSet((A, B, C), (D,)),
        "abd",
        (),
        {A, B, C, D},
        consensus.VoterSet((A, B, C, D)),
    ),
    "untargeted_learner_is_removed": (
        consensus.VoterSet((A, B, C), (D,)),
        "abc",
        (),
        {A, B, C, D},
        THREE_VOTERS,
    ),
    "untargeted_voter_is_removed": (
        consensus.VoterSet((A, B, C, D)),
        "abd",
        (),
        {A, B, D},
        consensus.VoterSet((A, B, D)),
    ),
}


@pytest.mark.parametrize(
    ("current", "target_node_ids", "joining", "responsive", "expected"),
    CASES.values(),
    ids=CASES.keys(),
)
def test_next_voter_set(
    current: consensus.VoterSet,
    target_node_ids: str,
    joining: tuple[consensus.Voter, ...],
    responsive: set[consensus.Voter],
    expected: consensus.VoterSet | None,
) -> None:
    goal = _voter_changes.Goal(None, [model.NodeId(n) for n in target_node_ids])
    seen = _voter_changes.Observations(
        joining,
        responsive=frozenset(responsive),
        caught_up=frozenset((*current.members, *joining)),
    )
    assert _voter_changes.next_voter_set(current, goal, seen) == expected


def test_learner_that_lacks_entries_is_not_promoted() -> None:
    seen = _voter_changes.Observations(
        responsive=frozenset((A, B, C, C2)), caught_up=frozenset((A, B, C))
    )
    goal = _voter_changes.Goal(None, [model.NodeId("c")])
    assert _voter_changes.next_voter_set(WITH_LEARNER, goal, seen) is None
