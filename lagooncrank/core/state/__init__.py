"""Replicated state machine, driven by the commands of the log."""

from lagooncrank.core.state._codec import decode_command
from lagooncrank.core.state._codec import encode_command
from lagooncrank.core.state._codec import UnknownCommandError
from lagooncrank.core.state._commands import ApplyDeclarations
from lagooncrank.core.state._commands import CallKey
from lagooncrank.core.state._commands import CallOwner
from lagooncrank.core.state._commands import CallState
from lagooncrank.core.state._commands import ClearContentCrashes
from lagooncrank.core.state._commands import Command
from lagooncrank.core.state._commands import COMMANDS
from lagooncrank.core.state._commands import DrainInstance
from lagooncrank.core.state._commands import EndDrain
from lagooncrank.core.state._commands import FinishCall
from lagooncrank.core.state._commands import FormGroup
from lagooncrank.core.state._commands import NoOp
from lagooncrank.core.state._commands import PutDocument
from lagooncrank.core.state._commands import PutReplica
from lagooncrank.core.state._commands import RecordContentCrash
from lagooncrank.core.state._commands import RecordEntryIncarnation
from lagooncrank.core.state._commands import ReleaseMembers
from lagooncrank.core.state._commands import ReserveCall
from lagooncrank.core.state._commands import ResolveCall
from lagooncrank.core.state._commands import SetGroupPhase
from lagooncrank.core.state._commands import StoredAnswer
from lagooncrank.core.state._machine import SNAPSHOT_VERSION
from lagooncrank.core.state._machine import SnapshotVersionError
from lagooncrank.core.state._machine import StateMachine
from lagooncrank.core.state._machine import StateSnapshot
from lagooncrank.core.state._records import CallRecord
from lagooncrank.core.state._records import ChangeRecord
from lagooncrank.core.state._records import ConfigurationRecord
from lagooncrank.core.state._records import ContentCrashRecord
from lagooncrank.core.state._records import Document
from lagooncrank.core.state._records import Drain
from lagooncrank.core.state._records import EntryIncarnation
from lagooncrank.core.state._records import Outcome

__all__ = [
    "COMMANDS",
    "SNAPSHOT_VERSION",
    "ApplyDeclarations",
    "CallKey",
    "CallOwner",
    "CallRecord",
    "CallState",
    "ChangeRecord",
    "ClearContentCrashes",
    "Command",
    "ConfigurationRecord",
    "ContentCrashRecord",
    "Document",
    "Drain",
    "DrainInstance",
    "EndDrain",
    "EntryIncarnation",
    "FinishCall",
    "FormGroup",
    "NoOp",
    "Outcome",
    "PutDocument",
    "PutReplica",
    "RecordContentCrash",
    "RecordEntryIncarnation",
    "ReleaseMembers",
    "ReserveCall",
    "ResolveCall",
    "SetGroupPhase",
    "SnapshotVersionError",
    "StateMachine",
    "StateSnapshot",
    "StoredAnswer",
    "UnknownCommandError",
    "decode_command",
    "encode_command",
]
