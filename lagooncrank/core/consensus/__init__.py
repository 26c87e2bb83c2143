"""Replicated log: elections, replication, snapshots, voter changes."""

from lagooncrank.core.consensus._bootstrap import BootstrapReply
from lagooncrank.core.consensus._bootstrap import BootstrapRequest
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
from lagooncrank.core.consensus._messages import TimeoutNow
from lagooncrank.core.consensus._messages import Voter
from lagooncrank.core.consensus._messages import VoteReply
from lagooncrank.core.consensus._messages import VoteRequest
from lagooncrank.core.consensus._messages import VoterSet
from lagooncrank.core.consensus._node import Node
from lagooncrank.core.consensus._node import Status
from lagooncrank.core.consensus._node_state import Role
from lagooncrank.core.consensus._node_state import Timing
from lagooncrank.core.consensus._participant import Participant
from lagooncrank.core.consensus._participant_types import Applier
from lagooncrank.core.consensus._participant_types import OutgoingMessage
from lagooncrank.core.consensus._participant_types import ParticipantConfig
from lagooncrank.core.consensus._participant_types import PendingOutput
from lagooncrank.core.consensus._participant_types import ReleasedOutput
from lagooncrank.core.consensus._polling import STALE_START_WAIT_MS
from lagooncrank.core.consensus._proposals import ForwardedProposal
from lagooncrank.core.consensus._proposals import ProposalRefusal
from lagooncrank.core.consensus._proposals import SettledProposal
from lagooncrank.core.consensus._relay import PollReply
from lagooncrank.core.consensus._relay import PollRequest
from lagooncrank.core.consensus._relay import StateTransfer
from lagooncrank.core.consensus._relay import upstream_candidates
from lagooncrank.core.consensus._voter_changes import JoinRequest
from lagooncrank.core.consensus._voter_changes import LeaveReply
from lagooncrank.core.consensus._voter_changes import LeaveRequest
from lagooncrank.core.consensus._voter_membership import MAX_LEAVE_WAIT_MS
from lagooncrank.core.consensus._voter_membership import NODE_MESSAGES

__all__ = [
    "MAX_LEAVE_WAIT_MS",
    "NODE_MESSAGES",
    "STALE_START_WAIT_MS",
    "AppendReply",
    "AppendRequest",
    "Applier",
    "BootstrapReply",
    "BootstrapRequest",
    "CommittedEntryError",
    "DurableState",
    "Entry",
    "Envelope",
    "ForwardedProposal",
    "HardState",
    "InstallSnapshot",
    "JoinRequest",
    "LeaveReply",
    "LeaveRequest",
    "Message",
    "Node",
    "OutgoingMessage",
    "Output",
    "Participant",
    "ParticipantConfig",
    "PendingOutput",
    "PollReply",
    "PollRequest",
    "ProposalId",
    "ProposalRefusal",
    "ReadResult",
    "ReleasedOutput",
    "Role",
    "SettledProposal",
    "Snapshot",
    "StateTransfer",
    "Status",
    "TimeoutNow",
    "Timing",
    "VoteReply",
    "VoteRequest",
    "Voter",
    "VoterSet",
    "upstream_candidates",
]
