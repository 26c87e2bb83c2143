"""Configuration, state machine interface and output of a participant."""

import dataclasses
from typing import Any
from typing import Protocol

from lagooncrank import model
from lagooncrank.core.consensus import _messages
from lagooncrank.core.consensus import _proposals


class Applier(Protocol):
    """Interface of the state machine to which entries are applied."""

    def apply(self, entry: _messages.Entry) -> Any:
        """Applies the entry that follows the last applied one."""

    def snapshot(self) -> bytes:
        """Returns the state after the last applied entry."""

    def restore(self, data: bytes) -> None:
        """Replaces the state with one returned by `snapshot`."""


@dataclasses.dataclass(frozen=True, slots=True)
class ParticipantConfig:
    """Identity of a participant and the nodes that it knows."""

    node_id: model.NodeId
    #: Increases with each start of the node.
    incarnation: int
    #: Nodes that the settings name as voters.
    voter_node_ids: tuple[model.NodeId, ...]
    #: Nodes to follow, in order of preference; unused by voters.
    upstreams: tuple[model.NodeId, ...]
    #: Nodes to which this one has links.
    linked: frozenset[model.NodeId]
    #: Whether uninitialized voters may bootstrap a new system.
    may_bootstrap: bool = True
    #: Number of voters to maintain by replacing unreachable voters with
    #: joining nodes; None keeps exactly the voters of the settings.
    target_voter_count: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to send over a peer link."""

    to: model.NodeId
    body: Any


@dataclasses.dataclass(frozen=True, slots=True)
class PendingOutput:
    """Output to make durable before `Participant.complete` is called."""

    output: _messages.Output | None = None
    #: Initial voter set, to be stored on an uninitialized disk.
    initial_voters: _messages.VoterSet | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasedOutput:
    """Messages and results to deliver, returned by `Participant.complete`."""

    messages: tuple[OutgoingMessage, ...]
    settled: tuple[_proposals.SettledProposal, ...]
    #: Ids of the confirmed reads.
    reads: tuple[int, ...]
