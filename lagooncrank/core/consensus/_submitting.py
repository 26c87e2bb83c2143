"""How a leader takes proposals, dropping copies of those it has."""

from typing import Final

from lagooncrank import results
from lagooncrank.core.consensus import _messages
from lagooncrank.core.consensus import _node
from lagooncrank.core.consensus import _proposals

#: Proposals of the present term that are remembered to drop copies.
REMEMBERED: Final = 4_096


class Acceptor:
    """Adds each proposal to the log once, though it be sent again."""

    def __init__(self) -> None:
        self._term = 0
        self._seen: dict[_messages.ProposalId, None] = {}

    def accept(
        self, node: _node.Node | None, proposal: _proposals.ForwardedProposal
    ) -> bool:
        """Adds a proposal to the log.

        Returns:
            False when the node does not lead the proposal's term.
        """
        if node is None:
            return False
        if proposal.term != self._term:
            self._term = proposal.term
            self._seen.clear()
        if proposal.proposal in self._seen:
            return True
        code = node.propose(proposal.data, proposal.proposal, proposal.term)
        if code is not results.ResultCode.OK:
            return False
        self._seen[proposal.proposal] = None
        if len(self._seen) > REMEMBERED:
            del self._seen[next(iter(self._seen))]
        return True
