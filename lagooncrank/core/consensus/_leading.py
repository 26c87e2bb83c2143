"""What a leader does: replicate, commit, keep its lease, confirm reads."""

import dataclasses

from lagooncrank.core.consensus import _context
from lagooncrank.core.consensus import _messages


@dataclasses.dataclass(slots=True)
class Progress:
    """What the leader knows of one follower."""

    next_index: int
    match_index: int = 0
    #: Commit index that the follower was last told.
    told_commit_index: int = 0
    #: Newest heartbeat round that the follower answered.
    acked_round: int = 0
    #: When that round was sent, on the leader's clock.
    acked_sent_ms: int = 0
    snapshot_sent_ms: int | None = None


class Leading:
    """Leads one term; a new object is made for each."""

    def __init__(self, context: _context.Context, now_ms: int) -> None:
        self._context = context
        self._started_ms = now_ms
        self._progress: dict[_messages.Voter, Progress] = {}
        self._round = 0
        self._heartbeat_ms = now_ms
        self._pending_reads: list[tuple[int, int]] = []
        self.append(b"", None)
        self._heartbeat(now_ms)

    def append(
        self,
        data: bytes,
        proposal: _messages.ProposalId | None,
        voters: _messages.VoterSet | None = None,
    ) -> _messages.Entry:
        """Adds an entry to the log; `replicate` sends it."""
        log = self._context.log
        entry = _messages.Entry(
            log.last_index + 1, self._context.term, data, proposal, voters
        )
        log.append(entry)
        return entry

    def read(self, read_id: int, now_ms: int) -> None:
        """Confirms with a new round that no newer leader has committed."""
        self._pending_reads.append((read_id, self._round + 1))
        self._heartbeat(now_ms)

    def tick(self, now_ms: int) -> None:
        """Sends heartbeats, and steps down without a quorum."""
        context = self._context
        silence_ms = now_ms - self.contact_ms(now_ms)
        if silence_ms >= context.timing.election_min_ms:
            context.become_follower(context.term, None, now_ms)
            return
        if now_ms - self._heartbeat_ms >= context.timing.heartbeat_ms:
            self._heartbeat(now_ms)

    def replicate(self, now_ms: int) -> None:
        """Sends every follower what it was not yet told.

        A commit is told at once: proposers at other nodes wait for it, and
        the next heartbeat may be far.
        """
        self._advance()
        context = self._context
        for voter in self._others():
            progress = self._progress_of(voter)
            lacks_entries = progress.next_index <= context.log.last_index
            if lacks_entries or self._lacks_commit(progress):
                self._send(voter, progress, now_ms)

    def on_reply(self, reply: _messages.AppendReply, now_ms: int) -> None:
        """Takes a follower's answer."""
        if reply.follower not in self._others():
            return
        progress = self._progress_of(reply.follower)
        if reply.round > progress.acked_round:
            progress.acked_round = reply.round
            progress.acked_sent_ms = reply.sent_ms
        if reply.accepted:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(
                progress.next_index, reply.match_index + 1
            )
            progress.snapshot_sent_ms = None
        else:
            resume = max(progress.match_index, reply.match_index) + 1
            progress.next_index = min(progress.next_index, resume)
            self._send(reply.follower, progress, now_ms)
        self._advance()

    def contact_ms(self, now_ms: int) -> int:
        """Returns when the newest round that a quorum answered was sent."""
        times = [
            now_ms if v == self._context.own else self._contact_of(v)
            for v in self._voters().voters
        ]
        return sorted(times, reverse=True)[self._voters().quorum - 1]

    def has_leader_lease(self, now_ms: int) -> bool:
        """Whether no other node can have been elected yet.

        A fresh leader has no answers yet and holds no lease.
        """
        if self._quorum_round() == 0 and self._voters().quorum > 1:
            return False
        lease_ms = self._context.timing.lease_ms
        return now_ms - self.contact_ms(now_ms) < lease_ms

    def take_reads(self) -> tuple[_messages.ReadResult, ...]:
        """Returns the reads that were confirmed."""
        if not self.has_committed_in_term():
            return ()
        round_ = self._quorum_round()
        index = self._context.commit_index
        ready = [r for r, needed in self._pending_reads if needed <= round_]
        self._pending_reads = [r for r in self._pending_reads if r[1] > round_]
        return tuple(_messages.ReadResult(r, index) for r in ready)

    def fail_reads(self) -> tuple[_messages.ReadResult, ...]:
        """Returns every pending read as failed."""
        failed = [_messages.ReadResult(r, None) for r, _ in self._pending_reads]
        self._pending_reads = []
        return tuple(failed)

    def has_committed_in_term(self) -> bool:
        """Whether all that earlier leaders committed is known committed."""
        context = self._context
        return context.log.term_at(context.commit_index) == context.term

    def is_caught_up(self, voter: _messages.Voter) -> bool:
        """Whether a learner holds everything that is committed."""
        match_index = self._progress_of(voter).match_index
        return match_index >= self._context.commit_index

    def heard_of(self, voter: _messages.Voter, since_ms: int) -> bool:
        """Whether a follower answered a round sent at `since_ms` or later."""
        progress = self._progress_of(voter)
        return progress.acked_round > 0 and progress.acked_sent_ms >= since_ms

    def _heartbeat(self, now_ms: int) -> None:
        self._round += 1
        self._heartbeat_ms = now_ms
        for voter in self._others():
            self._send(voter, self._progress_of(voter), now_ms)

    def _send(
        self, voter: _messages.Voter, progress: Progress, now_ms: int
    ) -> None:
        context = self._context
        prev_index = progress.next_index - 1
        prev_term = context.log.term_at(prev_index)
        if prev_term is None:
            self._send_snapshot(voter, progress, now_ms)
            return
        entries = tuple(
            context.log.batch(progress.next_index, context.timing.batch_bytes)
        )
        request = _messages.AppendRequest(
            context.term,
            context.own,
            prev_index,
            prev_term,
            entries,
            context.commit_index,
            self._round,
            now_ms,
        )
        progress.next_index += len(entries)
        progress.told_commit_index = context.commit_index
        context.send(voter, request)

    def _lacks_commit(self, progress: Progress) -> bool:
        """Whether a follower holds a committed entry without knowing it."""
        told = progress.told_commit_index
        return told < min(self._context.commit_index, progress.match_index)

    def _send_snapshot(
        self, voter: _messages.Voter, progress: Progress, now_ms: int
    ) -> None:
        context = self._context
        snapshot = context.log.snapshot
        sent_ms = progress.snapshot_sent_ms
        retry_ms = context.timing.snapshot_retry_ms
        if snapshot is None:
            return
        if sent_ms is not None and now_ms - sent_ms < retry_ms:
            return
        progress.snapshot_sent_ms = now_ms
        request = _messages.InstallSnapshot(
            context.term, context.own, snapshot, self._round, now_ms
        )
        context.send(voter, request)

    def _advance(self) -> None:
        context = self._context
        matches = [
            context.log.last_index
            if v == context.own
            else self._progress_of(v).match_index
            for v in self._voters().voters
        ]
        index = sorted(matches, reverse=True)[self._voters().quorum - 1]
        # Entries of earlier terms commit with the first of this term only.
        if context.log.term_at(index) == context.term:
            context.commit_index = max(context.commit_index, index)

    def _quorum_round(self) -> int:
        rounds = [
            self._round
            if v == self._context.own
            else self._progress_of(v).acked_round
            for v in self._voters().voters
        ]
        return sorted(rounds, reverse=True)[self._voters().quorum - 1]

    def _contact_of(self, voter: _messages.Voter) -> int:
        progress = self._progress_of(voter)
        return max(progress.acked_sent_ms, self._started_ms)

    def _progress_of(self, voter: _messages.Voter) -> Progress:
        if voter not in self._progress:
            next_index = self._context.log.last_index
            self._progress[voter] = Progress(max(next_index, 1))
        return self._progress[voter]

    def _voters(self) -> _messages.VoterSet:
        voters = self._context.log.voters
        assert voters is not None, "a leader was elected by voters"
        return voters

    def _others(self) -> tuple[_messages.Voter, ...]:
        return tuple(
            v for v in self._voters().members if v != self._context.own
        )
