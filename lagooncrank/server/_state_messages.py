"""Peer messages of the consensus protocol."""

from typing import Any
from typing import Final

from lagooncrank.core import consensus

#: Kind on the wire and type of every message.
KINDS: Final[tuple[tuple[str, type], ...]] = (
    ("append", consensus.AppendRequest),
    ("append-reply", consensus.AppendReply),
    ("vote", consensus.VoteRequest),
    ("vote-reply", consensus.VoteReply),
    ("install-snapshot", consensus.InstallSnapshot),
    ("propose", consensus.ForwardedProposal),
    ("propose-refusal", consensus.ProposalRefusal),
    ("poll", consensus.PollRequest),
    ("poll-reply", consensus.PollReply),
    ("blank-hello", consensus.BootstrapRequest),
    ("blank-reply", consensus.BootstrapReply),
    ("join", consensus.JoinRequest),
    ("leave", consensus.LeaveRequest),
    ("leave-reply", consensus.LeaveReply),
    ("timeout-now", consensus.TimeoutNow),
)
_KIND_BY_TYPE = {body: kind for kind, body in KINDS}


def kind_of(body: Any) -> str:
    """Returns the kind of a message."""
    return _KIND_BY_TYPE[type(body)]
