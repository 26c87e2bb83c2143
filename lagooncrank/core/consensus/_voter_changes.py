"""Selects the next change of the voter set, one voter at a time.

The states of a disk, and what moves it from one to the next, are described in
`docs/design/voter-set.md`.
"""

from collections.abc import Collection
import dataclasses

from lagooncrank import model
from lagooncrank.core.consensus import _messages


@dataclasses.dataclass(frozen=True, slots=True)
class JoinRequest:
    """Request to add a disk that is not in the voter set."""

    voter: _messages.Voter


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveRequest:
    """Request to replace a voter that is about to stop."""

    voter: _messages.Voter


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveReply:
    """Tells a voter that asked to leave that there is nothing to wait for.

    It has been removed, or no disk could replace it.
    """

    voter: _messages.Voter


@dataclasses.dataclass(frozen=True, slots=True)
class Observations:
    """What the leader has observed of the disks in and beside the voter set."""

    #: Disks that request to be added.
    joining: tuple[_messages.Voter, ...] = ()
    #: Disks that are about to stop.
    leaving: frozenset[_messages.Voter] = frozenset()
    #: Disks that replied recently.
    responsive: frozenset[_messages.Voter] = frozenset()
    #: Learners that hold all committed entries, by a reply of the last moment.
    caught_up: frozenset[_messages.Voter] = frozenset()
    #: Disks that have not replied for so long that they lose their place.
    lost: frozenset[_messages.Voter] = frozenset()

    def is_ready(self, learner: _messages.Voter) -> bool:
        """Whether a learner could vote at once."""
        return learner in self.responsive and learner in self.caught_up

    def could_succeed(self, learner: _messages.Voter) -> bool:
        """Whether a learner may become a voter, now or later."""
        return learner not in self.lost and learner not in self.leaving


@dataclasses.dataclass(frozen=True, slots=True)
class Goal:
    """Which voters there should be."""

    #: Number of voters; None for exactly the nodes of `node_ids`.
    count: int | None
    #: Nodes that the settings name as voters.
    node_ids: Collection[model.NodeId] = ()

    def admits(self, voter: _messages.Voter) -> bool:
        """Whether a disk may be a member."""
        return self.count is not None or voter.node_id in self.node_ids

    def select(
        self, current: _messages.VoterSet, seen: Observations
    ) -> tuple[_messages.Voter, ...]:
        """Returns the members that should vote.

        A voter keeps its place until there is another disk to take it.
        """
        if self.count is not None:
            return _in_order_of_rank(current, seen)[: self.count]
        disks = {v.node_id: v for v in (*current.voters, *current.learners)}
        return tuple(v for n, v in disks.items() if n in self.node_ids)


def next_voter_set(
    current: _messages.VoterSet, goal: Goal, seen: Observations
) -> _messages.VoterSet | None:
    """Returns the next voter set on the way to the goal, or None.

    A joining disk becomes a learner at once, so that it holds the log when a
    voter is lost or leaves. A voter is removed only if a quorum of the
    remaining voters is responsive.

    Args:
        current: Voter set in force.
        goal: Which voters there should be.
        seen: What the leader has observed.
    """
    learners = _next_learners(current, goal, seen)
    if learners != current.learners:
        return _messages.VoterSet(current.voters, learners)
    selected = goal.select(current, seen)
    missing = [v for v in current.learners if v in selected]
    ready = [v for v in missing if seen.is_ready(v)]
    if not missing:
        extra = [v for v in current.voters if v not in selected]
        return _removal(current, extra, goal, seen)
    if not ready:
        return None
    return _removal(
        current, _useless_voters(current, selected, seen), goal, seen
    ) or _promotion(current, ready)


def has_successor(current: _messages.VoterSet, seen: Observations) -> bool:
    """Whether a voter that leaves can be replaced."""
    return any(seen.could_succeed(v) for v in current.learners)


def _next_learners(
    current: _messages.VoterSet, goal: Goal, seen: Observations
) -> tuple[_messages.Voter, ...]:
    """Returns the learners without lost disks, and with one that joins."""
    learners = tuple(
        v for v in current.learners if goal.admits(v) and v not in seen.lost
    )
    if learners != current.learners:
        return learners
    for voter in seen.joining:
        if goal.admits(voter) and voter not in current.members:
            return (*_without_node(learners, voter.node_id), voter)
    return learners


def _in_order_of_rank(
    current: _messages.VoterSet, seen: Observations
) -> tuple[_messages.Voter, ...]:
    """Returns all members, those first that should rather vote."""
    replaced_nodes = _replaced_nodes(current, seen)
    kept, leaving, useless = [], [], []
    for voter in current.voters:
        if voter in seen.lost or voter.node_id in replaced_nodes:
            useless.append(voter)
        elif voter in seen.leaving:
            leaving.append(voter)
        else:
            kept.append(voter)
    successors = filter(seen.could_succeed, current.learners)
    return (
        *kept,
        *sorted(successors, key=lambda v: not seen.is_ready(v)),
        *leaving,
        *useless,
    )


def _replaced_nodes(
    current: _messages.VoterSet, seen: Observations
) -> frozenset[model.NodeId]:
    """Returns the nodes that run with another disk than the one that votes."""
    return frozenset(v.node_id for v in current.learners if seen.is_ready(v))


def _useless_voters(
    current: _messages.VoterSet,
    selected: Collection[_messages.Voter],
    seen: Observations,
) -> list[_messages.Voter]:
    """Returns voters to remove before another is added.

    These are disks that do not respond, and disks that were replaced. They
    count for the quorum without being part of one, so a set without them
    tolerates no less.
    """
    replaced_nodes = _replaced_nodes(current, seen)
    return [
        v
        for v in current.voters
        if v not in selected
        and (v not in seen.responsive or v.node_id in replaced_nodes)
    ]


def _promotion(
    current: _messages.VoterSet, ready: list[_messages.Voter]
) -> _messages.VoterSet | None:
    """Adds the first learner whose node has no voter."""
    voter_nodes = {v.node_id for v in current.voters}
    for learner in ready:
        if learner.node_id not in voter_nodes:
            learners = tuple(v for v in current.learners if v != learner)
            return _messages.VoterSet((*current.voters, learner), learners)
    return None


def _removal(
    current: _messages.VoterSet,
    candidates: Collection[_messages.Voter],
    goal: Goal,
    seen: Observations,
) -> _messages.VoterSet | None:
    """Removes the first voter that the others do not need.

    A removed voter that runs on becomes a learner.
    """
    for voter in candidates:
        remaining = tuple(v for v in current.voters if v != voter)
        if not _has_responsive_quorum(remaining, seen):
            continue
        learners = current.learners
        if (
            goal.admits(voter)
            and voter in seen.responsive
            and voter not in seen.leaving
            and voter.node_id not in {v.node_id for v in learners}
        ):
            learners = (*learners, voter)
        return _messages.VoterSet(remaining, learners)
    return None


def _without_node(
    voters: tuple[_messages.Voter, ...], node_id: model.NodeId
) -> tuple[_messages.Voter, ...]:
    return tuple(v for v in voters if v.node_id != node_id)


def _has_responsive_quorum(
    voters: tuple[_messages.Voter, ...], seen: Observations
) -> bool:
    responsive = sum(1 for v in voters if v in seen.responsive)
    return bool(voters) and responsive >= len(voters) // 2 + 1
