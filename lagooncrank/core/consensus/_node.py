"""One consensus node: a state machine of events and resulting output."""

from collections.abc import Callable
import dataclasses

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.consensus import _election
from lagooncrank.core.consensus import _follower_role
from lagooncrank.core.consensus import _leader_role
from lagooncrank.core.consensus import _log
from lagooncrank.core.consensus import _messages
from lagooncrank.core.consensus import _node_state


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Status of a node for operators and tests."""

    role: _node_state.Role
    term: int
    leader: model.NodeId | None
    commit_index: int
    last_index: int
    snapshot_index: int
    voters: _messages.VoterSet | None


class Node:
    """Replicates a log with the other voters.

    Methods that handle an event may queue output, which `take_output`
    returns. The caller makes the durable part of the output durable before
    using the rest of it, so the node may treat its in-memory state as stored.
    """

    def __init__(
        self,
        own_voter: _messages.Voter,
        timing: _node_state.Timing,
        random_float: Callable[[], float],
        durable: _messages.DurableState,
        now_ms: int,
        started_ms: int | None = None,
    ) -> None:
        """Initializes the node from stored state.

        Args:
            own_voter: This node and its disk.
            timing: Durations of the protocol.
            random_float: Returns a random number in [0.0, 1.0).
            durable: Content of the data folder.
            now_ms: Monotonic time.
            started_ms: When the process started; leader leases that this node
                may have to respect were granted earlier. Defaults to
                `now_ms`.
        """
        if started_ms is None:
            started_ms = now_ms
        log = _log.Log(durable)
        self._state = _node_state.NodeState(
            own_voter,
            timing,
            random_float,
            log,
            durable.hard_state,
            started_ms,
            started_ms,
        )
        self._state.commit_index = log.snapshot_index
        self._state.set_first_election_deadline(now_ms)
        self._delivered_index = log.snapshot_index
        self._election = _election.Election(self._state)
        self._follower_role = _follower_role.FollowerRole(self._state)
        self._leader_role: _leader_role.LeaderRole | None = None
        self._failed_reads: list[_messages.ReadResult] = []

    def receive(self, message: _messages.Message, now_ms: int) -> None:
        """Handles a message from another node.

        Raises:
            CommittedEntryError: A leader tried to replace a committed entry.
        """
        match message:
            case _messages.VoteRequest():
                self._election.on_request(message, now_ms)
            case _messages.VoteReply():
                if self._election.on_reply(message, now_ms):
                    self._become_leader(now_ms)
            case _messages.TimeoutNow():
                if self._election.on_timeout_now(message, now_ms):
                    self._become_leader(now_ms)
            case _messages.AppendRequest():
                self._follower_role.on_append(message, now_ms)
            case _messages.InstallSnapshot():
                self._follower_role.on_snapshot(message, now_ms)
            case _messages.AppendReply():
                self._on_append_reply(message, now_ms)
        self._step_down_if_needed()

    def observe(self, missed_ms: int) -> None:
        """Sets the time in which this process stood still, in all.

        Call it before `receive` and `tick`. Silence of others in that time is
        not held against them; leader leases run on.

        Args:
            missed_ms: As of an `ObservedClock`; it never decreases.
        """
        self._state.missed_ms = missed_ms

    def tick(self, now_ms: int) -> None:
        """Runs due timers; call it at least every `Timing.heartbeat_ms`."""
        if self._leader_role is not None:
            self._leader_role.tick(now_ms)
        elif self._election.tick(now_ms):
            self._become_leader(now_ms)
        self._step_down_if_needed()

    def propose(
        self, data: bytes, proposal: _messages.ProposalId, term: int
    ) -> results.ResultCode:
        """Appends a command to the log if this node leads in `term`.

        Returns:
            OK, or NOT_LEADER: the command was not appended and, as a node
            leads a term at most once, never will be in this term.
        """
        if self._leader_role is None or term != self._state.term:
            return results.ResultCode.NOT_LEADER
        self._leader_role.append(data, proposal)
        return results.ResultCode.OK

    def read(self, read_id: int, now_ms: int) -> results.ResultCode:
        """Requests an index that covers all entries committed before now.

        Returns:
            OK when a `ReadResult` will follow, or NOT_LEADER.
        """
        if self._leader_role is None:
            return results.ResultCode.NOT_LEADER
        self._leader_role.read(read_id, now_ms)
        return results.ResultCode.OK

    def change_voters(self, voters: _messages.VoterSet) -> results.ResultCode:
        """Proposes a voter set that differs from the current one by one voter.

        Returns:
            OK, or NOT_LEADER when this node does not lead, has not yet
            committed an entry in its term, or when an earlier voter change
            is not yet committed.

        Raises:
            ValueError: More than one voter would be added or removed.
        """
        leader_role = self._leader_role
        log = self._state.log
        if leader_role is None or not leader_role.has_committed_in_term():
            return results.ResultCode.NOT_LEADER
        if self.has_uncommitted_voters:
            return results.ResultCode.NOT_LEADER
        current = log.voters
        changed = set(current.voters if current else ()) ^ set(voters.voters)
        if len(changed) > 1 or not voters.voters:
            raise ValueError(f"change one voter at a time, not {changed}")
        leader_role.append(b"", None, voters)
        return results.ResultCode.OK

    def transfer_leadership(
        self, to: _messages.Voter, now_ms: int
    ) -> results.ResultCode:
        """Steps down, and lets another voter start an election at once.

        Returns:
            OK, or NOT_LEADER when this node does not lead or `to` is not a
            voter that holds the whole log.
        """
        leader_role = self._leader_role
        voters = self._state.log.voters
        if leader_role is None or voters is None or to not in voters.voters:
            return results.ResultCode.NOT_LEADER
        if to == self._state.own_voter or not leader_role.holds_log(to):
            return results.ResultCode.NOT_LEADER
        # The leader lease must end before the message is sent: its receiver
        # may be elected at once.
        term = self._state.term
        self._state.become_follower(term, None, now_ms)
        self._step_down_if_needed()
        self._state.send(to, _messages.TimeoutNow(term))
        return results.ResultCode.OK

    def set_initial_voters(
        self, initial_voters: _messages.VoterSet, now_ms: int
    ) -> None:
        """Sets the initial voter set, which the caller has already stored."""
        self._state.log.set_initial_voters(initial_voters)
        self._state.reset_election_deadline(now_ms)

    def compact(self, last_index: int, data: bytes) -> _messages.Snapshot:
        """Replaces the log up to an applied entry with a snapshot.

        Args:
            last_index: Last entry reflected in `data`; must not exceed what
                `take_output` has returned as committed.
            data: Encoded state machine.

        Returns:
            The snapshot to store.

        Raises:
            ValueError: The log does not hold the entry, or it is not yet
                returned as committed.
        """
        log = self._state.log
        term = log.term_at(last_index)
        voters = log.voters_at(last_index)
        if term is None or voters is None or last_index > self._delivered_index:
            raise ValueError(
                f"cannot take a snapshot at entry {last_index}: it is"
                " not in the log or not yet committed"
            )
        snapshot = _messages.Snapshot(last_index, term, voters, data)
        log.compact(snapshot)
        return snapshot

    def take_output(self, now_ms: int) -> _messages.Output:
        """Returns the output produced since the last call."""
        if self._leader_role is not None:
            self._leader_role.replicate(now_ms)
            self._step_down_if_needed()
        state = self._state
        hard_state = state.hard_state if state.hard_state_unsaved else None
        state.hard_state_unsaved = False
        snapshot = self._follower_role.take_installed_snapshot()
        if snapshot is not None:
            self._delivered_index = snapshot.last_index
        output = _messages.Output(
            hard_state,
            snapshot,
            state.log.take_unsaved(),
            state.log.entries_between(
                self._delivered_index + 1, state.commit_index
            ),
            tuple(state.outbox),
            self._take_read_results(),
        )
        state.outbox.clear()
        self._delivered_index = state.commit_index
        return output

    def has_leader_lease(self, now_ms: int) -> bool:
        """Whether this node leads and no other node can have been elected."""
        return (
            self._leader_role is not None
            and self._leader_role.has_leader_lease(now_ms)
        )

    def contact_ms(self, now_ms: int) -> int | None:
        """Returns the time of the last quorum contact of this leader.

        Returns:
            Time at which the newest heartbeat round that a quorum answered
            was sent; no newer leader had committed an entry then. None when
            this node does not lead, no quorum has answered yet, or it does not
            yet know all that earlier leaders committed.
        """
        leader_role = self._leader_role
        if leader_role is None or not leader_role.has_contact():
            return None
        if not leader_role.has_committed_in_term():
            return None
        return leader_role.contact_ms(now_ms)

    def is_caught_up(self, voter: _messages.Voter) -> bool:
        """Whether this node leads and `voter` holds all committed entries."""
        return self._leader_role is not None and self._leader_role.is_caught_up(
            voter
        )

    def has_replied_within(
        self, voter: _messages.Voter, duration_ms: int, now_ms: int
    ) -> bool:
        """Whether this node leads and `voter` replied within a duration.

        Args:
            voter: Another voter or this one.
            duration_ms: Duration in which this process could read replies.
            now_ms: Monotonic time.
        """
        if voter == self._state.own_voter:
            return self._leader_role is not None
        return (
            self._leader_role is not None
            and self._leader_role.has_replied_within(voter, duration_ms, now_ms)
        )

    def silence_ms(self, voter: _messages.Voter, now_ms: int) -> int:
        """Returns for how long this leader has had no reply of a member.

        Counts observed time, from when the member was added or this node became
        leader at the earliest; 0 for this node, or if it does not lead.
        """
        if self._leader_role is None or voter == self._state.own_voter:
            return 0
        return self._leader_role.silence_ms(voter, now_ms)

    def hears_leader(self, now_ms: int) -> bool:
        """Whether this node leads, or a leader has made contact recently.

        Counts observed time. A learner knows its last leader for ever.
        """
        state = self._state
        if self._leader_role is not None:
            return True
        silence_ms = state.observed_ms(now_ms) - state.leader_last_observed_ms
        max_silence_ms = state.timing.election_timeout_max_ms
        return state.leader is not None and silence_ms < max_silence_ms

    @property
    def has_uncommitted_voters(self) -> bool:
        """Whether a change of the voter set in the log is not yet committed."""
        state = self._state
        return state.log.last_voter_change_index() > state.commit_index

    @property
    def status(self) -> Status:
        """Current role, term and log position."""
        state = self._state
        leader = state.leader
        return Status(
            state.role,
            state.term,
            leader.node_id if leader else None,
            state.commit_index,
            state.log.last_index,
            state.log.snapshot_index,
            state.log.voters,
        )

    def _on_append_reply(
        self, reply: _messages.AppendReply, now_ms: int
    ) -> None:
        if reply.term > self._state.term:
            self._state.become_follower(reply.term, None, now_ms)
        elif reply.term == self._state.term and self._leader_role is not None:
            self._leader_role.on_reply(reply, now_ms)

    def _become_leader(self, now_ms: int) -> None:
        self._state.role = _node_state.Role.LEADER
        self._state.leader = self._state.own_voter
        self._leader_role = _leader_role.LeaderRole(self._state, now_ms)

    def _step_down_if_needed(self) -> None:
        """Discards the leader role if the node was deposed or removed."""
        state = self._state
        if self._leader_role is None:
            return
        if not self.has_uncommitted_voters and not state.is_voter:
            state.role = _node_state.Role.FOLLOWER
            state.leader = None
        if state.role is not _node_state.Role.LEADER:
            self._failed_reads += self._leader_role.fail_reads()
            self._leader_role = None

    def _take_read_results(self) -> tuple[_messages.ReadResult, ...]:
        failed = tuple(self._failed_reads)
        self._failed_reads.clear()
        if self._leader_role is None:
            return failed
        return failed + self._leader_role.take_reads()
