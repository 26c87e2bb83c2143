"""What a participant is set up with, and what it gives back."""

import dataclasses
from typing import Any
from typing import Protocol

from lagooncrank import model
from lagooncrank.core.consensus import _messages
from lagooncrank.core.consensus import _proposals


class Applier(Protocol):
    """The state machine as a participant drives it."""

    def apply(self, entry: _messages.Entry) -> Any:
        """Applies the entry after the last applied one."""

    def snapshot(self) -> bytes:
        """Returns the state after the last applied entry."""

    def restore(self, data: bytes) -> None:
        """Replaces the state by what `snapshot` returned."""


@dataclasses.dataclass(frozen=True, slots=True)
class ParticipantConfig:
    """Who a participant is and whom it knows."""

    node_id: model.NodeId
    #: Higher for each start of the node.
    incarnation: int
    #: Nodes that the settings name as voters.
    voter_node_ids: tuple[model.NodeId, ...]
    #: Nodes to follow, preferred ones first; unused by voters.
    upstreams: tuple[model.NodeId, ...]
    #: Nodes that this one has links to.
    linked: frozenset[model.NodeId]
    #: Whether blank voters may start a new system.
    may_bootstrap: bool = True
    #: Number of voters to keep, replacing those that are gone by nodes that
    #: ask to join; None keeps exactly the voters of the settings.
    target_voter_count: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message for a peer link."""

    to: model.NodeId
    body: Any


@dataclasses.dataclass(frozen=True, slots=True)
class PendingOutput:
    """What must be durable before `Participant.complete` is called."""

    output: _messages.Output | None = None
    #: First voter set, to be stored on a blank disk.
    initial_voters: _messages.VoterSet | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasedOutput:
    """What `Participant.complete` leaves to be done."""

    messages: tuple[OutgoingMessage, ...]
    settled: tuple[_proposals.SettledProposal, ...]
    #: Reads that are confirmed.
    reads: tuple[int, ...]
