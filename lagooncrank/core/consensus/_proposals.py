"""Follows the proposals of one node until their fate is known.

A proposal is submitted for one term: the leader of that term may add it to
the log, no later one will. Once an entry of a later term is applied, a
proposal that was not seen before it can no longer commit, and may be
submitted again without running twice.
"""

from collections.abc import Iterator
import dataclasses
from typing import Any
from typing import Final

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.consensus import _messages

#: Wait before a proposal is sent again to the same leader, which drops
#: copies; the message may have been lost.
RESEND_MS: Final = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedProposal:
    """A proposal on its way to the leader of `term`."""

    proposal: _messages.ProposalId
    term: int
    leader: model.NodeId
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ProposalRefusal:
    """The receiver did not add a proposal, and does not lead its term."""

    proposal: _messages.ProposalId
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class SettledProposal:
    """End of a proposal.

    `code` is OK when the command was applied, NO_QUORUM when it certainly
    never will be, PROPOSAL_LOST when it still may.
    """

    proposal: _messages.ProposalId
    code: results.ResultCode
    #: What applying returned; None unless `code` is OK.
    outcome: Any = None


@dataclasses.dataclass(slots=True)
class _Pending:
    data: bytes
    deadline_ms: int
    #: Term submitted for; None while it is certainly in no log.
    term: int | None = None
    sent_ms: int = 0
    copies: int = 0


class Proposals:
    """Pending proposals of one start of a node."""

    def __init__(self) -> None:
        self._pending: dict[_messages.ProposalId, _Pending] = {}
        self._applied_term = 0

    def add(
        self, proposal: _messages.ProposalId, data: bytes, deadline_ms: int
    ) -> None:
        """Takes a new proposal, to be submitted when a leader is known."""
        self._pending[proposal] = _Pending(data, deadline_ms)

    def due(
        self, term: int, leader: model.NodeId, now_ms: int
    ) -> Iterator[ForwardedProposal]:
        """Yields what to submit to the known leader of `term`."""
        for proposal, pending in self._pending.items():
            waited_ms = now_ms - pending.sent_ms
            repeats = pending.term == term and waited_ms >= RESEND_MS
            if pending.term is not None and not repeats:
                continue
            pending.copies = pending.copies + 1 if repeats else 1
            pending.term = term
            pending.sent_ms = now_ms
            yield ForwardedProposal(proposal, term, leader, pending.data)

    def on_applied(
        self, entry: _messages.Entry, outcome: Any
    ) -> SettledProposal | None:
        """Takes an applied entry; settles the proposal that it carries."""
        settled = None
        if entry.proposal is not None:
            pending = self._pending.pop(entry.proposal, None)
            if pending is not None:
                settled = SettledProposal(
                    entry.proposal, results.ResultCode.OK, outcome
                )
        if entry.term > self._applied_term:
            self._applied_term = entry.term
            self._free_before(entry.term)
        return settled

    def on_refusal(self, refusal: ProposalRefusal) -> None:
        """Frees a refused proposal, unless another copy may be in a log."""
        pending = self._pending.get(refusal.proposal)
        if pending is None or pending.term != refusal.term:
            return
        if pending.copies == 1:
            pending.term = None

    def on_snapshot(self, last_term: int) -> list[SettledProposal]:
        """Gives up what the entries behind a snapshot may have carried."""
        lost = [
            p
            for p, pending in self._pending.items()
            if pending.term is not None and pending.term <= last_term
        ]
        return [self._give_up(p) for p in lost]

    def expire(self, now_ms: int) -> list[SettledProposal]:
        """Gives up proposals whose deadline passed."""
        late = [
            p
            for p, pending in self._pending.items()
            if pending.deadline_ms <= now_ms
        ]
        return [self._give_up(p) for p in late]

    def _free_before(self, term: int) -> None:
        for pending in self._pending.values():
            if pending.term is not None and pending.term < term:
                pending.term = None

    def _give_up(self, proposal: _messages.ProposalId) -> SettledProposal:
        pending = self._pending.pop(proposal)
        code = results.ResultCode.PROPOSAL_LOST
        if pending.term is None:
            code = results.ResultCode.NO_QUORUM
        return SettledProposal(proposal, code)
