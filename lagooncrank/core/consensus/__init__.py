"""Replicated log: election, replication, snapshots, voter replacement."""

from lagooncrank.core.consensus._context import Role
from lagooncrank.core.consensus._context import Timing
from lagooncrank.core.consensus._log import CommittedEntryError
from lagooncrank.core.consensus._messages import AppendReply
from lagooncrank.core.consensus._messages import AppendRequest
from lagooncrank.core.consensus._messages import DurableState
from lagooncrank.core.consensus._messages import Entry
from lagooncrank.core.consensus._messages import Envelope
from lagooncrank.core.consensus._messages import HardState
from lagooncrank.core.consensus._messages import InstallSnapshot
from lagooncrank.core.consensus._messages import Message
from lagooncrank.core.consensus._messages import Output
from lagooncrank.core.consensus._messages import ProposalId
from lagooncrank.core.consensus._messages import ReadResult
from lagooncrank.core.consensus._messages import Snapshot
from lagooncrank.core.consensus._messages import Voter
from lagooncrank.core.consensus._messages import VoteReply
from lagooncrank.core.consensus._messages import VoteRequest
from lagooncrank.core.consensus._messages import VoterSet
from lagooncrank.core.consensus._node import Node
from lagooncrank.core.consensus._node import Status

__all__ = [
    "AppendReply",
    "AppendRequest",
    "CommittedEntryError",
    "DurableState",
    "Entry",
    "Envelope",
    "HardState",
    "InstallSnapshot",
    "Message",
    "Node",
    "Output",
    "ProposalId",
    "ReadResult",
    "Role",
    "Snapshot",
    "Status",
    "Timing",
    "VoteReply",
    "VoteRequest",
    "Voter",
    "VoterSet",
]
