"""Selects the next change of the voter set, one voter at a time."""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses

from lagooncrank import model
from lagooncrank.core.consensus import _messages


@dataclasses.dataclass(frozen=True, slots=True)
class JoinRequest:
    """Request to add a disk that is not in the voter set."""

    voter: _messages.Voter


def next_voter_set(
    current: _messages.VoterSet,
    target_node_ids: Collection[model.NodeId],
    joining: Collection[_messages.Voter],
    is_caught_up: Callable[[_messages.Voter], bool],
    is_responsive: Callable[[_messages.Voter], bool],
) -> _messages.VoterSet | None:
    """Returns the next voter set on the way to the target, or None.

    A joining disk is first added as a learner. Once it has caught up, the old
    disk of its node is removed, and the new one becomes a voter. A voter is
    removed only if a quorum of the remaining voters is responsive.

    Args:
        current: Voter set in force.
        target_node_ids: Nodes that should be voters.
        joining: Disks that requested to be added.
        is_caught_up: Whether a learner holds all committed entries.
        is_responsive: Whether a voter replied recently.
    """
    for voter in joining:
        if voter.node_id in target_node_ids and voter not in current.members:
            others = _without_node(current.learners, voter.node_id)
            return _messages.VoterSet(current.voters, (*others, voter))
    retained = tuple(
        v for v in current.learners if v.node_id in target_node_ids
    )
    if retained != current.learners:
        return _messages.VoterSet(current.voters, retained)
    ready = [
        v for v in current.learners if is_caught_up(v) and is_responsive(v)
    ]
    for learner in ready:
        remaining = _without_node(current.voters, learner.node_id)
        if remaining == current.voters:
            learners = _without_node(current.learners, learner.node_id)
            return _messages.VoterSet((*current.voters, learner), learners)
        if _has_responsive_quorum(remaining, is_responsive):
            return _messages.VoterSet(remaining, current.learners)
    return _next_removal(current, target_node_ids, is_responsive)


def select_voters(
    current: _messages.VoterSet,
    joining: Collection[_messages.Voter],
    is_alive: Callable[[_messages.Voter], bool],
    target_count: int,
) -> frozenset[model.NodeId]:
    """Returns the nodes that should vote, given only how many are needed.

    Live voters are kept. Joining nodes fill vacancies and replace unreachable
    voters; an unreachable voter is kept until a node can replace it.

    Args:
        current: Voter set in force.
        joining: Disks that requested to be added.
        is_alive: Whether a voter replied recently enough not to be replaced.
        target_count: Target number of voters.
    """
    target_node_ids = [v.node_id for v in current.voters if is_alive(v)]
    candidates = (*current.learners, *joining)
    target_node_ids += [
        v.node_id for v in candidates if v.node_id not in target_node_ids
    ]
    target_node_ids += [
        v.node_id for v in current.voters if v.node_id not in target_node_ids
    ]
    return frozenset(list(dict.fromkeys(target_node_ids))[:target_count])


def _next_removal(
    current: _messages.VoterSet,
    target_node_ids: Collection[model.NodeId],
    is_responsive: Callable[[_messages.Voter], bool],
) -> _messages.VoterSet | None:
    if current.learners:
        return None
    for voter in current.voters:
        remaining = _without_node(current.voters, voter.node_id)
        if voter.node_id not in target_node_ids and _has_responsive_quorum(
            remaining, is_responsive
        ):
            return _messages.VoterSet(remaining)
    return None


def _without_node(
    voters: tuple[_messages.Voter, ...], node_id: model.NodeId
) -> tuple[_messages.Voter, ...]:
    return tuple(v for v in voters if v.node_id != node_id)


def _has_responsive_quorum(
    voters: tuple[_messages.Voter, ...],
    is_responsive: Callable[[_messages.Voter], bool],
) -> bool:
    responsive = sum(1 for v in voters if is_responsive(v))
    return bool(voters) and responsive >= len(voters) // 2 + 1
