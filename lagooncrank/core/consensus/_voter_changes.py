"""Decides the next change of voters, one voter at a time."""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses

from lagooncrank import model
from lagooncrank.core.consensus import _messages


@dataclasses.dataclass(frozen=True, slots=True)
class JoinRequest:
    """A voter whose disk the voter set does not list asks to be added."""

    voter: _messages.Voter


def next_change(
    present: _messages.VoterSet,
    wanted: Collection[model.NodeId],
    joining: Collection[_messages.Voter],
    is_caught_up: Callable[[_messages.Voter], bool],
    is_heard: Callable[[_messages.Voter], bool],
) -> _messages.VoterSet | None:
    """Returns the next voter set on the way to what is wanted, or None.

    A joining disk first learns. Once it is caught up, the old disk of its
    node leaves, then it becomes a voter. No voter leaves unless a quorum of
    those that stay answers.

    Args:
        present: The set in force.
        wanted: Nodes that the settings name as voters.
        joining: Disks that asked to be added.
        is_caught_up: Whether a learner holds all committed entries.
        is_heard: Whether a voter answered lately.
    """
    for voter in joining:
        if voter.node_id in wanted and voter not in present.members:
            others = _without_node(present.learners, voter.node_id)
            return _messages.VoterSet(present.voters, (*others, voter))
    kept = tuple(v for v in present.learners if v.node_id in wanted)
    if kept != present.learners:
        return _messages.VoterSet(present.voters, kept)
    ready = [v for v in present.learners if is_caught_up(v) and is_heard(v)]
    for learner in ready:
        rest = _without_node(present.voters, learner.node_id)
        if rest == present.voters:
            learners = _without_node(present.learners, learner.node_id)
            return _messages.VoterSet((*present.voters, learner), learners)
        if _can_lead(rest, is_heard):
            return _messages.VoterSet(rest, present.learners)
    return _removal(present, wanted, is_heard)


def elastic_voters(
    present: _messages.VoterSet,
    joining: Collection[_messages.Voter],
    is_alive: Callable[[_messages.Voter], bool],
    target: int,
) -> frozenset[model.NodeId]:
    """Returns which nodes should vote when their number alone is settled.

    Live voters stay. Nodes that ask to join fill the places that are free or
    whose voters are gone; voters that are gone keep their place until then.

    Args:
        present: The set in force.
        joining: Disks that asked to be added.
        is_alive: Whether a voter answered within the time after which it may
            be replaced.
        target: Number of voters wanted.
    """
    wanted = [v.node_id for v in present.voters if is_alive(v)]
    candidates = (*present.learners, *joining)
    wanted += [v.node_id for v in candidates if v.node_id not in wanted]
    wanted += [v.node_id for v in present.voters if v.node_id not in wanted]
    return frozenset(list(dict.fromkeys(wanted))[:target])


def _removal(
    present: _messages.VoterSet,
    wanted: Collection[model.NodeId],
    is_heard: Callable[[_messages.Voter], bool],
) -> _messages.VoterSet | None:
    if present.learners:
        return None
    for voter in present.voters:
        rest = _without_node(present.voters, voter.node_id)
        if voter.node_id not in wanted and _can_lead(rest, is_heard):
            return _messages.VoterSet(rest)
    return None


def _without_node(
    voters: tuple[_messages.Voter, ...], node_id: model.NodeId
) -> tuple[_messages.Voter, ...]:
    return tuple(v for v in voters if v.node_id != node_id)


def _can_lead(
    voters: tuple[_messages.Voter, ...],
    is_heard: Callable[[_messages.Voter], bool],
) -> bool:
    heard = sum(1 for v in voters if is_heard(v))
    return bool(voters) and heard >= len(voters) // 2 + 1
