"""One consensus node: takes events, gives back what must be done."""

from collections.abc import Callable
import dataclasses

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.consensus import _context
from lagooncrank.core.consensus import _election
from lagooncrank.core.consensus import _following
from lagooncrank.core.consensus import _leading
from lagooncrank.core.consensus import _log
from lagooncrank.core.consensus import _messages


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Summary of a node for operators and tests."""

    role: _context.Role
    term: int
    leader: model.NodeId | None
    commit_index: int
    last_index: int
    snapshot_index: int
    voters: _messages.VoterSet | None


class Node:
    """Replicates a log with the other voters.

    Each method that takes an event may queue output; `drain` returns it. The
    caller makes the durable part durable before it does anything else with
    the output, so everything that the node has in memory may count as stored.
    """

    def __init__(
        self,
        own: _messages.Voter,
        timing: _context.Timing,
        draw: Callable[[], float],
        durable: _messages.DurableState,
        now_ms: int,
        started_ms: int | None = None,
    ) -> None:
        """Starts from what storage held.

        Args:
            own: This node and its disk.
            timing: Durations of the protocol.
            draw: Returns the next random number, 0.0 to 1.0.
            durable: Content of the data folder.
            now_ms: Monotonic time.
            started_ms: When the process began; promises to a leader were made
                before. Defaults to `now_ms`.
        """
        if started_ms is None:
            started_ms = now_ms
        log = _log.Log(durable)
        self._context = _context.Context(
            own, timing, draw, log, durable.hard_state, started_ms
        )
        self._context.commit_index = log.snapshot_index
        self._context.set_first_election_deadline(now_ms)
        self._delivered_index = log.snapshot_index
        self._election = _election.Election(self._context)
        self._following = _following.Following(self._context)
        self._leading: _leading.Leading | None = None
        self._failed_reads: list[_messages.ReadResult] = []

    def receive(self, message: _messages.Message, now_ms: int) -> None:
        """Takes a message from another node.

        Raises:
            CommittedEntryError: A leader contradicts a committed entry.
        """
        match message:
            case _messages.VoteRequest():
                self._election.on_request(message, now_ms)
            case _messages.VoteReply():
                if self._election.on_reply(message, now_ms):
                    self._lead(now_ms)
            case _messages.AppendRequest():
                self._following.on_append(message, now_ms)
            case _messages.InstallSnapshot():
                self._following.on_snapshot(message, now_ms)
            case _messages.AppendReply():
                self._on_append_reply(message, now_ms)
        self._leave_lead_if_over()

    def tick(self, now_ms: int) -> None:
        """Does what is due; call it at least every `Timing.heartbeat_ms`."""
        if self._leading is not None:
            self._leading.tick(now_ms)
        elif self._election.tick(now_ms):
            self._lead(now_ms)
        self._leave_lead_if_over()

    def propose(
        self, data: bytes, proposal: _messages.ProposalId, term: int
    ) -> results.ResultCode:
        """Adds a command to the log if this node leads in `term`.

        Returns:
            OK, or NOT_LEADER: the command was not added and, as a node leads
            a term at most once, never will be in this term.
        """
        if self._leading is None or term != self._context.term:
            return results.ResultCode.NOT_LEADER
        self._leading.append(data, proposal)
        return results.ResultCode.OK

    def read(self, read_id: int, now_ms: int) -> results.ResultCode:
        """Asks for an index that covers all commits before now.

        Returns:
            OK when a `ReadResult` will follow, or NOT_LEADER.
        """
        if self._leading is None:
            return results.ResultCode.NOT_LEADER
        self._leading.read(read_id, now_ms)
        return results.ResultCode.OK

    def change_voters(self, voters: _messages.VoterSet) -> results.ResultCode:
        """Proposes a set that differs from the present one by one voter.

        Returns:
            OK, or NOT_LEADER when this node does not lead or an earlier
            change or term is not yet settled.

        Raises:
            ValueError: More than one voter would be added or removed.
        """
        leading = self._leading
        log = self._context.log
        if leading is None or not leading.has_committed_in_term():
            return results.ResultCode.NOT_LEADER
        if log.last_voters_index() > self._context.commit_index:
            return results.ResultCode.NOT_LEADER
        present = log.voters
        changed = set(present.voters if present else ()) ^ set(voters.voters)
        if len(changed) > 1 or not voters.voters:
            raise ValueError(f"change one voter at a time, not {changed}")
        leading.append(b"", None, voters)
        return results.ResultCode.OK

    def adopt(self, initial_voters: _messages.VoterSet, now_ms: int) -> None:
        """Takes the first voter set on a blank disk, already stored."""
        self._context.log.adopt(initial_voters)
        self._context.reset_election_deadline(now_ms)

    def compact(self, last_index: int, data: bytes) -> _messages.Snapshot:
        """Drops the log up to an applied entry in favour of a snapshot.

        Args:
            last_index: Entry after which `data` was taken; not beyond what
                `drain` has returned as committed.
            data: Encoded state machine.

        Returns:
            The snapshot to store.

        Raises:
            ValueError: The entry is not kept or not yet committed.
        """
        log = self._context.log
        term = log.term_at(last_index)
        voters = log.voters_at(last_index)
        if term is None or voters is None or last_index > self._delivered_index:
            raise ValueError(f"no snapshot can be taken at {last_index}")
        snapshot = _messages.Snapshot(last_index, term, voters, data)
        log.compact(snapshot)
        return snapshot

    def drain(self, now_ms: int) -> _messages.Output:
        """Returns what is to be done since the last call."""
        if self._leading is not None:
            self._leading.replicate(now_ms)
            self._leave_lead_if_over()
        context = self._context
        hard_state = context.hard_state if context.hard_state_unsaved else None
        context.hard_state_unsaved = False
        snapshot = self._following.take_installed()
        if snapshot is not None:
            self._delivered_index = snapshot.last_index
        output = _messages.Output(
            hard_state,
            snapshot,
            context.log.take_unsaved(),
            context.log.between(
                self._delivered_index + 1, context.commit_index
            ),
            tuple(context.outbox),
            self._take_reads(),
        )
        context.outbox.clear()
        self._delivered_index = context.commit_index
        return output

    def has_leader_lease(self, now_ms: int) -> bool:
        """Whether this node leads and no other can have been elected."""
        return self._leading is not None and self._leading.has_leader_lease(
            now_ms
        )

    def contact_ms(self, now_ms: int) -> int | None:
        """Returns when a quorum last answered this leader.

        Returns:
            None when this node does not lead, or does not yet know all that
            earlier leaders committed.
        """
        leading = self._leading
        if leading is None or not leading.has_leader_lease(now_ms):
            return None
        if not leading.has_committed_in_term():
            return None
        return leading.contact_ms(now_ms)

    def is_caught_up(self, voter: _messages.Voter) -> bool:
        """Whether this node leads and `voter` holds all that is committed."""
        return self._leading is not None and self._leading.is_caught_up(voter)

    def heard_of(self, voter: _messages.Voter, since_ms: int) -> bool:
        """Whether this node leads and `voter` answered since `since_ms`."""
        if voter == self._context.own:
            return self._leading is not None
        return self._leading is not None and self._leading.heard_of(
            voter, since_ms
        )

    @property
    def status(self) -> Status:
        """Present role, term and log position."""
        context = self._context
        leader = context.leader
        return Status(
            context.role,
            context.term,
            leader.node_id if leader else None,
            context.commit_index,
            context.log.last_index,
            context.log.snapshot_index,
            context.log.voters,
        )

    def _on_append_reply(
        self, reply: _messages.AppendReply, now_ms: int
    ) -> None:
        if reply.term > self._context.term:
            self._context.become_follower(reply.term, None, now_ms)
        elif reply.term == self._context.term and self._leading is not None:
            self._leading.on_reply(reply, now_ms)

    def _lead(self, now_ms: int) -> None:
        self._context.role = _context.Role.LEADER
        self._context.leader = self._context.own
        self._leading = _leading.Leading(self._context, now_ms)

    def _leave_lead_if_over(self) -> None:
        """Forgets the leader's work once this node leads no more."""
        context = self._context
        if self._leading is None:
            return
        settled = context.log.last_voters_index() <= context.commit_index
        if settled and not context.is_voter:
            context.role = _context.Role.FOLLOWER
            context.leader = None
        if context.role is not _context.Role.LEADER:
            self._failed_reads += self._leading.fail_reads()
            self._leading = None

    def _take_reads(self) -> tuple[_messages.ReadResult, ...]:
        failed = tuple(self._failed_reads)
        self._failed_reads.clear()
        if self._leading is None:
            return failed
        return failed + self._leading.take_reads()
