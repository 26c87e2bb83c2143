"""Log entries, voters and the messages between consensus nodes."""

import dataclasses

from lagooncrank import model


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Voter:
    """One disk of one node; a replaced disk makes another voter."""

    node_id: model.NodeId
    #: Drawn when the data folder is first written.
    disk_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class VoterSet:
    """Who votes, and who is brought up to date before it may vote.

    >>> a, b = Voter(model.NodeId("a"), "1"), Voter(model.NodeId("b"), "1")
    >>> VoterSet((a, b)).quorum
    2
    """

    voters: tuple[Voter, ...]
    learners: tuple[Voter, ...] = ()

    @property
    def quorum(self) -> int:
        """Number of voters that make a majority."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> tuple[Voter, ...]:
        """Voters and learners."""
        return self.voters + self.learners


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ProposalId:
    """Names one proposal of one start of a node."""

    node_id: model.NodeId
    #: Higher for each start of the node.
    incarnation: int
    #: Higher for each proposal of one start.
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the replicated log.

    An entry with neither data nor voters is the first of a leader's term.
    """

    index: int
    term: int
    #: Encoded command.
    data: bytes = b""
    proposal: ProposalId | None = None
    #: Set in force as soon as the entry is in the log.
    voters: VoterSet | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HardState:
    """What a voter must never forget."""

    term: int = 0
    voted_for: Voter | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State after the entry `last_index`, in place of the log up to it."""

    last_index: int
    last_term: int
    voters: VoterSet
    #: Encoded state machine.
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote, or with `pre_vote` whether one would be given."""

    term: int
    candidate: Voter
    last_index: int
    last_term: int
    pre_vote: bool


@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """Answers a `VoteRequest`; a granted pre-vote repeats its term."""

    term: int
    voter: Voter
    granted: bool
    pre_vote: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """Replicates entries; without entries it is a heartbeat."""

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
    """Answers an `AppendRequest` or an `InstallSnapshot`."""

    term: int
    follower: Voter
    accepted: bool
    #: Last entry known equal, or where to try next after a rejection.
    match_index: int
    round: int
    sent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Replaces the log of a follower that misses compacted entries."""

    term: int
    leader: Voter
    snapshot: Snapshot
    round: int
    sent_ms: int


#: Union of the messages that `Node.receive` takes.
Message = (
    VoteRequest | VoteReply | AppendRequest | AppendReply | InstallSnapshot
)


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message and the node that it goes to."""

    to: model.NodeId
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """Answer to `Node.read`."""

    read_id: int
    #: Entry that must be applied before reading; None if leadership ended.
    index: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Output:
    """What a node wants done, in the order of the fields.

    Everything durable must be synced before anything is applied or sent.
    """

    hard_state: HardState | None
    #: Snapshot received from the leader; it replaces log and state.
    snapshot: Snapshot | None
    #: New entries; those stored from the first one's index on are replaced.
    entries: tuple[Entry, ...]
    committed: tuple[Entry, ...]
    messages: tuple[Envelope, ...]
    reads: tuple[ReadResult, ...]

    @property
    def must_sync(self) -> bool:
        """Whether there is anything to make durable."""
        return bool(self.hard_state or self.snapshot or self.entries)


@dataclasses.dataclass(frozen=True, slots=True)
class DurableState:
    """What storage gives back at a start."""

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
    #: Voters agreed on at the first start of the system.
    initial_voters: VoterSet | None = None
