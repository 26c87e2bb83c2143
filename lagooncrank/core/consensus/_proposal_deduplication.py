"""Deduplication of the proposals that a leader receives."""

from typing import Final

from lagooncrank import results
from lagooncrank.core.consensus import _messages
from lagooncrank.core.consensus import _node
from lagooncrank.core.consensus import _proposals

#: Maximum number of recent proposals of a term that are tracked to detect
#: duplicates.
MAX_TRACKED_PROPOSALS: Final = 4_096


class ProposalDeduplicator:
    """Appends each proposal to the log once, even if it is received again."""

    def __init__(self) -> None:
        self._term = 0
        self._seen: dict[_messages.ProposalId, None] = {}

    def append_once(
        self, node: _node.Node | None, forwarded: _proposals.ForwardedProposal
    ) -> bool:
        """Appends a proposal to the log unless it was already appended.

        Returns:
            False if the node does not lead the proposal's term.
        """
        if node is None:
            return False
        if forwarded.term != self._term:
            self._term = forwarded.term
            self._seen.clear()
        if forwarded.proposal in self._seen:
            return True
        code = node.propose(forwarded.data, forwarded.proposal, forwarded.term)
        if code is not results.ResultCode.OK:
            return False
        self._seen[forwarded.proposal] = None
        if len(self._seen) > MAX_TRACKED_PROPOSALS:
            del self._seen[next(iter(self._seen))]
        return True
