"""Leader duties: replication, commits, leader lease, read confirmation."""

from collections.abc import Sequence
import dataclasses

from lagooncrank.core.consensus import _messages
from lagooncrank.core.consensus import _node_state


@dataclasses.dataclass(slots=True)
class FollowerProgress:
    """Replication state of one follower as known to the leader."""

    next_index: int
    #: When the leader began to send to the follower, in observed time.
    added_ms: int
    match_index: int = 0
    #: Commit index last sent to the follower.
    sent_commit_index: int = 0
    #: Newest heartbeat round that the follower acknowledged.
    acked_round: int = 0
    #: When that round was sent, by the leader's clock.
    acked_sent_ms: int = 0
    #: When the leader read that reply, in observed time.
    heard_ms: int = 0
    snapshot_sent_ms: int | None = None


class LeaderRole:
    """Leader of one term; each term has its own instance."""

    def __init__(self, state: _node_state.NodeState, now_ms: int) -> None:
        self._state = state
        self._started_ms = now_ms
        self._started_observed_ms = state.observed_ms(now_ms)
        #: Observed time of the latest timer.
        self._observed_ms = self._started_observed_ms
        self._progress: dict[_messages.Voter, FollowerProgress] = {}
        self._round = 0
        self._last_heartbeat_ms = now_ms
        #: Read ids, with the heartbeat round that confirms each read.
        self._pending_reads: list[tuple[int, int]] = []
        self.append(b"", None)
        self._send_heartbeats(now_ms)

    def append(
        self,
        data: bytes,
        proposal: _messages.ProposalId | None,
        voters: _messages.VoterSet | None = None,
    ) -> _messages.Entry:
        """Appends an entry to the log; `replicate` sends it."""
        log = self._state.log
        entry = _messages.Entry(
            log.last_index + 1, self._state.term, data, proposal, voters
        )
        log.append(entry)
        if voters is not None:
            self._forget_all_but(voters)
        return entry

    def _forget_all_but(self, voters: _messages.VoterSet) -> None:
        """Forgets removed members; one that returns is found out about anew."""
        self._progress = {
            voter: progress
            for voter, progress in self._progress.items()
            if voter in voters.members
        }

    def read(self, read_id: int, now_ms: int) -> None:
        """Starts a read, confirmed by a new heartbeat round.

        Replies from a quorum show that no newer leader had committed an entry
        when the round was sent.
        """
        self._pending_reads.append((read_id, self._round + 1))
        self._send_heartbeats(now_ms)

    def tick(self, now_ms: int) -> None:
        """Sends due heartbeats, and steps down without quorum contact."""
        state = self._state
        self._observed_ms = state.observed_ms(now_ms)
        if (
            self._quorum_silence_ms(now_ms)
            >= state.timing.election_timeout_min_ms
        ):
            state.become_follower(state.term, None, now_ms)
            return
        if now_ms - self._last_heartbeat_ms >= state.timing.heartbeat_ms:
            self._send_heartbeats(now_ms)

    def replicate(self, now_ms: int) -> None:
        """Sends each follower new entries and commits.

        Commits are sent at once instead of with the next heartbeat, because
        proposers at other nodes wait for them.
        """
        self._advance_commit_index()
        state = self._state
        for voter in self._peers():
            progress = self._progress_of(voter)
            lacks_entries = progress.next_index <= state.log.last_index
            if lacks_entries or self._needs_commit_index(progress):
                self._send(voter, progress, now_ms)

    def on_reply(self, reply: _messages.AppendReply, now_ms: int) -> None:
        """Processes a follower's reply."""
        if reply.follower not in self._peers():
            return
        progress = self._progress_of(reply.follower)
        if reply.round > progress.acked_round:
            progress.acked_round = reply.round
            progress.acked_sent_ms = reply.sent_ms
            progress.heard_ms = self._state.observed_ms(now_ms)
        if reply.accepted:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(
                progress.next_index, reply.match_index + 1
            )
            progress.snapshot_sent_ms = None
        else:
            resume_index = max(progress.match_index, reply.match_index) + 1
            progress.next_index = min(progress.next_index, resume_index)
            self._send(reply.follower, progress, now_ms)
        self._advance_commit_index()

    def contact_ms(self, now_ms: int) -> int:
        """Returns the send time of the newest round that a quorum answered."""
        contact_times_ms = [
            now_ms if v == self._state.own_voter else self._contact_ms_of(v)
            for v in self._voters().voters
        ]
        return self._of_quorum(contact_times_ms)

    def has_contact(self) -> bool:
        """Whether a quorum has replied in this term."""
        return self._quorum_round() > 0 or self._voters().quorum == 1

    def has_leader_lease(self, now_ms: int) -> bool:
        """Whether no other node can have been elected yet.

        A new leader holds no lease until a quorum has replied.
        """
        if not self.has_contact():
            return False
        lease_ms = self._state.timing.lease_ms
        return now_ms - self.contact_ms(now_ms) < lease_ms

    def take_reads(self) -> tuple[_messages.ReadResult, ...]:
        """Removes and returns the confirmed reads."""
        if not self.has_committed_in_term():
            return ()
        quorum_round = self._quorum_round()
        index = self._state.commit_index
        ready = [
            read_id
            for read_id, confirming_round in self._pending_reads
            if confirming_round <= quorum_round
        ]
        self._pending_reads = [
            pending
            for pending in self._pending_reads
            if pending[1] > quorum_round
        ]
        return tuple(_messages.ReadResult(r, index) for r in ready)

    def fail_reads(self) -> tuple[_messages.ReadResult, ...]:
        """Removes all pending reads and returns them as failed."""
        failed = [_messages.ReadResult(r, None) for r, _ in self._pending_reads]
        self._pending_reads = []
        return tuple(failed)

    def has_committed_in_term(self) -> bool:
        """Whether an entry of this term is committed.

        All entries committed by earlier leaders are then known as committed.
        """
        state = self._state
        return state.log.term_at(state.commit_index) == state.term

    def is_caught_up(self, voter: _messages.Voter) -> bool:
        """Whether a learner holds all committed entries."""
        match_index = self._progress_of(voter).match_index
        return match_index >= self._state.commit_index

    def holds_log(self, voter: _messages.Voter) -> bool:
        """Whether a follower holds all entries of this leader."""
        match_index = self._progress_of(voter).match_index
        return match_index >= self._state.log.last_index

    def silence_ms(self, voter: _messages.Voter, now_ms: int) -> int:
        """Returns for how long a follower has not replied, in observed time."""
        progress = self._progress_of(voter)
        last_ms = max(progress.heard_ms, progress.added_ms)
        return self._state.observed_ms(now_ms) - last_ms

    def has_replied_within(
        self, voter: _messages.Voter, duration_ms: int, now_ms: int
    ) -> bool:
        """Whether a follower replied within a duration of observed time."""
        progress = self._progress_of(voter)
        silence_ms = self._state.observed_ms(now_ms) - progress.heard_ms
        return progress.acked_round > 0 and silence_ms <= duration_ms

    def _send_heartbeats(self, now_ms: int) -> None:
        self._round += 1
        self._last_heartbeat_ms = now_ms
        for voter in self._peers():
            self._send(voter, self._progress_of(voter), now_ms)

    def _send(
        self, voter: _messages.Voter, progress: FollowerProgress, now_ms: int
    ) -> None:
        state = self._state
        prev_index = progress.next_index - 1
        prev_term = state.log.term_at(prev_index)
        if prev_term is None:
            self._send_snapshot(voter, progress, now_ms)
            return
        entries = tuple(
            state.log.batch(progress.next_index, state.timing.max_batch_bytes)
        )
        request = _messages.AppendRequest(
            state.term,
            state.own_voter,
            prev_index,
            prev_term,
            entries,
            state.commit_index,
            self._round,
            now_ms,
        )
        progress.next_index += len(entries)
        progress.sent_commit_index = state.commit_index
        state.send(voter, request)

    def _needs_commit_index(self, progress: FollowerProgress) -> bool:
        """Whether a follower holds entries not yet known to it as committed."""
        sent = progress.sent_commit_index
        return sent < min(self._state.commit_index, progress.match_index)

    def _send_snapshot(
        self, voter: _messages.Voter, progress: FollowerProgress, now_ms: int
    ) -> None:
        state = self._state
        snapshot = state.log.snapshot
        sent_ms = progress.snapshot_sent_ms
        retry_ms = state.timing.snapshot_retry_ms
        if snapshot is None:
            return
        if sent_ms is not None and now_ms - sent_ms < retry_ms:
            return
        progress.snapshot_sent_ms = now_ms
        request = _messages.InstallSnapshot(
            state.term, state.own_voter, snapshot, self._round, now_ms
        )
        state.send(voter, request)

    def _advance_commit_index(self) -> None:
        state = self._state
        match_indexes = [
            state.log.last_index
            if v == state.own_voter
            else self._progress_of(v).match_index
            for v in self._voters().voters
        ]
        index = self._of_quorum(match_indexes)
        # Entries of earlier terms are committed only together with the first
        # entry of this term (Raft, section 5.4.2).
        if state.log.term_at(index) == state.term:
            state.commit_index = max(state.commit_index, index)

    def _quorum_round(self) -> int:
        acked_rounds = [
            self._round
            if v == self._state.own_voter
            else self._progress_of(v).acked_round
            for v in self._voters().voters
        ]
        return self._of_quorum(acked_rounds)

    def _quorum_silence_ms(self, now_ms: int) -> int:
        """Returns for how long no quorum has replied, in observed time."""
        observed_ms = self._state.observed_ms(now_ms)
        heard_times_ms = [
            observed_ms
            if v == self._state.own_voter
            else max(self._progress_of(v).heard_ms, self._started_observed_ms)
            for v in self._voters().voters
        ]
        return observed_ms - self._of_quorum(heard_times_ms)

    def _of_quorum(self, values: Sequence[int]) -> int:
        """Returns the highest value that a quorum of the voters reaches."""
        return sorted(values, reverse=True)[self._voters().quorum - 1]

    def _contact_ms_of(self, voter: _messages.Voter) -> int:
        progress = self._progress_of(voter)
        return max(progress.acked_sent_ms, self._started_ms)

    def _progress_of(self, voter: _messages.Voter) -> FollowerProgress:
        if voter not in self._progress:
            next_index = self._state.log.last_index
            self._progress[voter] = FollowerProgress(
                max(next_index, 1), self._observed_ms
            )
        return self._progress[voter]

    def _voters(self) -> _messages.VoterSet:
        voters = self._state.log.voters
        assert voters is not None, "a leader without a voter set"
        return voters

    def _peers(self) -> tuple[_messages.Voter, ...]:
        return tuple(
            v for v in self._voters().members if v != self._state.own_voter
        )
