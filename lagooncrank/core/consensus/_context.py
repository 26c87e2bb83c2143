"""State that the parts of one consensus node share."""

from collections.abc import Callable
import dataclasses
import enum

from lagooncrank.core.consensus import _log
from lagooncrank.core.consensus import _messages


class Role(enum.StrEnum):
    """What a node does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Durations of the consensus protocol."""

    heartbeat_ms: int = 150
    #: Silence after which a follower may stand for election.
    election_min_ms: int = 600
    election_max_ms: int = 1_200
    #: Spread of the first elections of voters that start together.
    first_election_spread_ms: int = 400
    #: Length of the leader lease; below `election_min_ms` by the clock drift
    #: that is allowed for.
    lease_ms: int = 500
    #: Wait before a snapshot is sent again.
    snapshot_retry_ms: int = 5_000
    #: Entry bytes sent in one message.
    batch_bytes: int = 262_144


@dataclasses.dataclass(slots=True)
class Context:
    """Mutable state of one node."""

    own: _messages.Voter
    timing: Timing
    #: Returns the next random number, 0.0 to 1.0.
    draw: Callable[[], float]
    log: _log.Log
    hard_state: _messages.HardState
    #: When a leader was last heard; a start counts, as promises made before
    #: it are forgotten.
    heard_ms: int
    election_deadline_ms: int = 0
    role: Role = Role.FOLLOWER
    leader: _messages.Voter | None = None
    commit_index: int = 0
    outbox: list[_messages.Envelope] = dataclasses.field(default_factory=list)
    #: Whether `hard_state` is newer than what storage was given.
    hard_state_unsaved: bool = False

    @property
    def term(self) -> int:
        """The node's term."""
        return self.hard_state.term

    @property
    def is_voter(self) -> bool:
        """Whether the latest voter set lists this disk."""
        voters = self.log.voters
        return voters is not None and self.own in voters.voters

    def is_promised(self, now_ms: int) -> bool:
        """Whether a leader may still hold a lease on this node's silence."""
        return now_ms - self.heard_ms < self.timing.election_min_ms

    def send(self, to: _messages.Voter, message: _messages.Message) -> None:
        """Queues a message to the node of a voter."""
        self.outbox.append(_messages.Envelope(to.node_id, message))

    def save(self, hard_state: _messages.HardState) -> None:
        """Changes term or vote; storage gets them with the next output."""
        self.hard_state = hard_state
        self.hard_state_unsaved = True

    def reset_election_deadline(self, now_ms: int) -> None:
        """Draws when this node stands for election if nothing is heard."""
        timing = self.timing
        spread = timing.election_max_ms - timing.election_min_ms
        wait_ms = timing.election_min_ms + int(self.draw() * spread)
        self.election_deadline_ms = now_ms + wait_ms

    def set_first_election_deadline(self, now_ms: int) -> None:
        """Draws when this node first stands for election.

        A process that took long to start has already waited for a leader's
        promise to lapse; the draw alone then keeps voters apart that start
        together.
        """
        self.reset_election_deadline(now_ms)
        if not self.is_promised(now_ms):
            wait_ms = int(self.draw() * self.timing.first_election_spread_ms)
            self.election_deadline_ms = now_ms + wait_ms

    def become_follower(
        self, term: int, leader: _messages.Voter | None, now_ms: int
    ) -> None:
        """Follows `leader`, or nobody yet, in `term`."""
        if term > self.term:
            self.save(_messages.HardState(term))
        self.role = Role.FOLLOWER
        self.leader = leader
        self.reset_election_deadline(now_ms)
