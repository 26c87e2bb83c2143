"""The state machine that the replicated log drives."""

from lagooncrank.core.state._codec import decode_command
from lagooncrank.core.state._codec import encode_command
from lagooncrank.core.state._codec import UnknownCommandError
from lagooncrank.core.state._commands import ApplyDeclarations
from lagooncrank.core.state._commands import CallKey
from lagooncrank.core.state._commands import CallOwner
from lagooncrank.core.state._commands import CallState
from lagooncrank.core.state._commands import Command
from lagooncrank.core.state._commands import COMMANDS
from lagooncrank.core.state._commands import DrainInstance
from lagooncrank.core.state._commands import EndDrain
from lagooncrank.core.state._commands import FinishCall
from lagooncrank.core.state._commands import FormGroup
from lagooncrank.core.state._commands import LiftMark
from lagooncrank.core.state._commands import MarkContent
from lagooncrank.core.state._commands import MoveGroup
from lagooncrank.core.state._commands import NoOp
from lagooncrank.core.state._commands import NoteEntry
from lagooncrank.core.state._commands import PutDocument
from lagooncrank.core.state._commands import PutReplica
from lagooncrank.core.state._commands import ReleaseMembers
from lagooncrank.core.state._commands import ReserveCall
from lagooncrank.core.state._commands import ResolveCall
from lagooncrank.core.state._commands import StoredAnswer
from lagooncrank.core.state._machine import SNAPSHOT_VERSION
from lagooncrank.core.state._machine import SnapshotVersionError
from lagooncrank.core.state._machine import StateMachine
from lagooncrank.core.state._machine import StateSnapshot
from lagooncrank.core.state._records import CallRecord
from lagooncrank.core.state._records import ChangeRecord
from lagooncrank.core.state._records import ConfigurationRecord
from lagooncrank.core.state._records import ContentMark
from lagooncrank.core.state._records import Document
from lagooncrank.core.state._records import Drain
from lagooncrank.core.state._records import EntryNote
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
    "Command",
    "ConfigurationRecord",
    "ContentMark",
    "Document",
    "Drain",
    "DrainInstance",
    "EndDrain",
    "EntryNote",
    "FinishCall",
    "FormGroup",
    "LiftMark",
    "MarkContent",
    "MoveGroup",
    "NoOp",
    "NoteEntry",
    "Outcome",
    "PutDocument",
    "PutReplica",
    "ReleaseMembers",
    "ReserveCall",
    "ResolveCall",
    "SnapshotVersionError",
    "StateMachine",
    "StateSnapshot",
    "StoredAnswer",
    "UnknownCommandError",
    "decode_command",
    "encode_command",
]
