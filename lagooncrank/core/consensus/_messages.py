"""Log entries, voter sets and the messages between consensus nodes."""

import dataclasses

from lagooncrank import model


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Voter:
    """A voting member, identified by its node and its disk.

    A node whose disk was replaced is a different voter.
    """

    node_id: model.NodeId
    #: Random identifier, generated when the data folder is initialized.
    disk_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class VoterSet:
    """Voters, and the learners that receive the log before they may vote.

    >>> a, b = Voter(model.NodeId("a"), "1"), Voter(model.NodeId("b"), "1")
    >>> VoterSet((a, b)).quorum
    2
    """

    voters: tuple[Voter, ...]
    learners: tuple[Voter, ...] = ()

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> tuple[Voter, ...]:
        """Voters and learners."""
        return self.voters + self.learners


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ProposalId:
    """Unique identifier of a proposal."""

    node_id: model.NodeId
    #: Increases with each start of the node.
    incarnation: int
    #: Increases with each proposal within one incarnation.
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the replicated log.

    An entry with neither data nor voters is the no-op that a new leader
    appends at the start of its term.
    """

    index: int
    term: int
    #: Encoded command; empty if the entry carries none.
    data: bytes = b""
    proposal: ProposalId | None = None
    #: New voter set, in force as soon as the entry is in the log.
    voters: VoterSet | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HardState:
    """Term and vote that a voter must persist before it replies."""

    term: int = 0
    voted_for: Voter | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State after entry `last_index`; replaces the log up to that entry."""

    last_index: int
    last_term: int
    voters: VoterSet
    #: Encoded state machine.
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Requests a vote, or with `pre_vote` asks whether it would be granted."""

    term: int
    candidate: Voter
    last_index: int
    last_term: int
    pre_vote: bool
    #: Whether the leader asked for the election, and leads no more.
    is_transfer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """Reply to a `VoteRequest`; a granted pre-vote echoes its term."""

    term: int
    voter: Voter
    granted: bool
    pre_vote: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """Replicates log entries; a request without entries is a heartbeat."""

    term: int
    leader: Voter
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    #: Number of the leader's heartbeat round, echoed by the reply.
    round: int
    #: Time on the leader's clock, echoed by the reply.
    sent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendReply:
    """Reply to an `AppendRequest` or an `InstallSnapshot`."""

    term: int
    follower: Voter
    accepted: bool
    #: Last entry that matches the leader's log; after a rejection, the entry
    #: before the one to retry from.
    match_index: int
    round: int
    sent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Sends a snapshot to a follower that lacks compacted entries."""

    term: int
    leader: Voter
    snapshot: Snapshot
    round: int
    sent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Asks a voter to start an election at once; its sender leads no more."""

    term: int


#: Union of the messages that `Node.receive` handles.
Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | InstallSnapshot
    | TimeoutNow
)


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A consensus message and its destination node."""

    to: model.NodeId
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """Result of `Node.read`."""

    read_id: int
    #: Entry that must be applied before the read; None if leadership ended.
    index: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Output:
    """Output of a node, to be processed in the order of the fields.

    The hard state, snapshot, and entries must be synced to disk before any
    entry is applied or any message is sent.
    """

    hard_state: HardState | None
    #: Snapshot received from the leader; it replaces the log and the state.
    snapshot: Snapshot | None
    #: New entries; they replace stored entries from the first new index on.
    entries: tuple[Entry, ...]
    committed: tuple[Entry, ...]
    messages: tuple[Envelope, ...]
    reads: tuple[ReadResult, ...]

    @property
    def must_sync(self) -> bool:
        """Whether any part of the output must be made durable."""
        return bool(self.hard_state or self.snapshot or self.entries)


@dataclasses.dataclass(frozen=True, slots=True)
class DurableState:
    """State that storage returns when a node starts."""

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
    #: Voter set agreed on during the bootstrap of the system.
    initial_voters: VoterSet | None = None
