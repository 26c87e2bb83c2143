"""State shared by the components of one consensus node."""

from collections.abc import Callable
import dataclasses
import enum

from lagooncrank.core.consensus import _log
from lagooncrank.core.consensus import _messages


class Role(enum.StrEnum):
    """Role of a node in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Durations of the consensus protocol."""

    heartbeat_ms: int = 150
    #: Time without contact from a leader after which a follower may start an
    #: election; the timeout is drawn at random between the two values.
    election_timeout_min_ms: int = 600
    election_timeout_max_ms: int = 1_200
    #: Maximum random delay of the first election, so that voters that start
    #: together do not all become candidates at once.
    first_election_jitter_ms: int = 400
    #: Length of the leader lease; shorter than `election_timeout_min_ms` by
    #: the tolerated clock drift.
    lease_ms: int = 500
    #: Delay before a snapshot is resent.
    snapshot_retry_ms: int = 5_000
    #: Maximum bytes of entry data in one message.
    max_batch_bytes: int = 262_144


@dataclasses.dataclass(slots=True)
class NodeState:
    """Mutable state of one consensus node."""

    own_voter: _messages.Voter
    timing: Timing
    #: Returns a random number in [0.0, 1.0).
    random_float: Callable[[], float]
    log: _log.Log
    hard_state: _messages.HardState
    #: When a leader last made contact. The start of the process counts as
    #: contact: leader leases that this node granted before are not stored.
    leader_last_seen_ms: int
    #: The same in observed time, see `observed_ms`.
    leader_last_observed_ms: int
    #: In observed time: only what a node could have read shows silence.
    election_deadline_ms: int = 0
    #: Time in which this process stood still, in all.
    missed_ms: int = 0
    role: Role = Role.FOLLOWER
    leader: _messages.Voter | None = None
    commit_index: int = 0
    outbox: list[_messages.Envelope] = dataclasses.field(default_factory=list)
    #: Whether `hard_state` has changes not yet handed to storage.
    hard_state_unsaved: bool = False

    @property
    def term(self) -> int:
        """Current term of the node."""
        return self.hard_state.term

    @property
    def is_voter(self) -> bool:
        """Whether the latest voter set contains this node and disk."""
        voters = self.log.voters
        return voters is not None and self.own_voter in voters.voters

    def observed_ms(self, now_ms: int) -> int:
        """Returns the time in which this process could read messages."""
        return now_ms - self.missed_ms

    def record_leader(self, now_ms: int) -> None:
        """Records that the leader of this term has made contact."""
        self.leader_last_seen_ms = now_ms
        self.leader_last_observed_ms = self.observed_ms(now_ms)

    def may_have_live_leader(self, now_ms: int) -> bool:
        """Whether a leader may hold a lease that this node must respect.

        While this holds, the node grants no vote. It also holds while the
        silence of the leader may be a standstill of this process.
        """
        timeout_ms = self.timing.election_timeout_min_ms
        if now_ms - self.leader_last_seen_ms < timeout_ms:
            return True
        silence_ms = self.observed_ms(now_ms) - self.leader_last_observed_ms
        return silence_ms < timeout_ms

    def send(self, to: _messages.Voter, message: _messages.Message) -> None:
        """Queues a message for the node of a voter."""
        self.outbox.append(_messages.Envelope(to.node_id, message))

    def set_hard_state(self, hard_state: _messages.HardState) -> None:
        """Sets term and vote; the next output hands them to storage."""
        self.hard_state = hard_state
        self.hard_state_unsaved = True

    def reset_election_deadline(self, now_ms: int) -> None:
        """Schedules the election to start if no leader makes contact."""
        timing = self.timing
        spread_ms = (
            timing.election_timeout_max_ms - timing.election_timeout_min_ms
        )
        wait_ms = timing.election_timeout_min_ms + int(
            self.random_float() * spread_ms
        )
        self.election_deadline_ms = self.observed_ms(now_ms) + wait_ms

    def set_first_election_deadline(self, now_ms: int) -> None:
        """Schedules the first election of this node.

        If the process took so long to start that any earlier leader's lease
        has expired, only a random delay is added, which separates voters that
        start together.
        """
        self.reset_election_deadline(now_ms)
        if not self.may_have_live_leader(now_ms):
            wait_ms = int(
                self.random_float() * self.timing.first_election_jitter_ms
            )
            self.election_deadline_ms = self.observed_ms(now_ms) + wait_ms

    def become_follower(
        self, term: int, leader: _messages.Voter | None, now_ms: int
    ) -> None:
        """Becomes a follower in `term`; `leader` is None while unknown."""
        if term > self.term:
            self.set_hard_state(_messages.HardState(term))
        self.role = Role.FOLLOWER
        self.leader = leader
        self.reset_election_deadline(now_ms)
