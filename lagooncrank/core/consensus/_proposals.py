"""Tracks the proposals of one node until their outcome is known.

A proposal is submitted for one term: only the leader of that term may append
it to the log. Once an entry of a later term is applied, a proposal that was
not applied before that entry can no longer commit, so it can be submitted again
without being applied twice.
"""

from collections.abc import Iterator
import dataclasses
from typing import Any
from typing import Final

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.consensus import _messages

#: Delay before a proposal is resent to the same leader, because the message may
#: have been lost; the leader drops duplicates.
RESEND_INTERVAL_MS: Final = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedProposal:
    """A proposal forwarded to the leader of `term`."""

    proposal: _messages.ProposalId
    term: int
    leader: model.NodeId
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ProposalRefusal:
    """Refusal of a proposal by a node that does not lead its term.

    The proposal was not appended to the log.
    """

    proposal: _messages.ProposalId
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class SettledProposal:
    """Final result of a proposal.

    `code` is OK if the command was applied, NO_QUORUM if it is certain that it
    never will be, and PROPOSAL_LOST if it still may be.
    """

    proposal: _messages.ProposalId
    code: results.ResultCode
    #: Return value of `Applier.apply`; None unless `code` is OK.
    outcome: Any = None


@dataclasses.dataclass(slots=True)
class _Pending:
    data: bytes
    deadline_ms: int
    #: Term submitted for; None while the proposal is certainly in no log.
    term: int | None = None
    sent_ms: int = 0
    send_count: int = 0


class PendingProposals:
    """Proposals of one incarnation of a node whose outcome is not known."""

    def __init__(self) -> None:
        self._pending: dict[_messages.ProposalId, _Pending] = {}
        self._applied_term = 0

    def add(
        self, proposal: _messages.ProposalId, data: bytes, deadline_ms: int
    ) -> None:
        """Adds a proposal, to be submitted once a leader is known."""
        self._pending[proposal] = _Pending(data, deadline_ms)

    def due_submissions(
        self, term: int, leader: model.NodeId, now_ms: int
    ) -> Iterator[ForwardedProposal]:
        """Yields the proposals to submit to the leader of `term`."""
        for proposal, pending in self._pending.items():
            sent_age_ms = now_ms - pending.sent_ms
            is_resend_due = (
                pending.term == term and sent_age_ms >= RESEND_INTERVAL_MS
            )
            if pending.term is not None and not is_resend_due:
                continue
            pending.send_count = pending.send_count + 1 if is_resend_due else 1
            pending.term = term
            pending.sent_ms = now_ms
            yield ForwardedProposal(proposal, term, leader, pending.data)

    def on_applied(
        self, entry: _messages.Entry, outcome: Any
    ) -> SettledProposal | None:
        """Settles the proposal that an applied entry carries, if it is ours."""
        settled = None
        if entry.proposal is not None:
            pending = self._pending.pop(entry.proposal, None)
            if pending is not None:
                settled = SettledProposal(
                    entry.proposal, results.ResultCode.OK, outcome
                )
        if entry.term > self._applied_term:
            self._applied_term = entry.term
            self._clear_terms_before(entry.term)
        return settled

    def on_refusal(self, refusal: ProposalRefusal) -> None:
        """Marks a refused proposal for resubmission.

        A proposal that was sent more than once stays submitted, because another
        copy may be in a log.
        """
        pending = self._pending.get(refusal.proposal)
        if pending is None or pending.term != refusal.term:
            return
        if pending.send_count == 1:
            pending.term = None

    def on_snapshot(self, last_term: int) -> list[SettledProposal]:
        """Settles proposals that entries replaced by a snapshot may contain."""
        unresolved = [
            p
            for p, pending in self._pending.items()
            if pending.term is not None and pending.term <= last_term
        ]
        return [self._settle_as_failed(p) for p in unresolved]

    def expire(self, now_ms: int) -> list[SettledProposal]:
        """Settles the proposals whose deadline has passed."""
        expired = [
            p
            for p, pending in self._pending.items()
            if pending.deadline_ms <= now_ms
        ]
        return [self._settle_as_failed(p) for p in expired]

    def _clear_terms_before(self, term: int) -> None:
        for pending in self._pending.values():
            if pending.term is not None and pending.term < term:
                pending.term = None

    def _settle_as_failed(
        self, proposal: _messages.ProposalId
    ) -> SettledProposal:
        pending = self._pending.pop(proposal)
        code = results.ResultCode.PROPOSAL_LOST
        if pending.term is None:
            code = results.ResultCode.NO_QUORUM
        return SettledProposal(proposal, code)
