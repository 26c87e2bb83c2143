"""Commands of the replicated log, each registered under its kind.

A command contains everything that its effect depends on, including the wall
time, so that all nodes that apply the same log reach the same state.
"""

import dataclasses
import enum

from lagooncrank import model
from lagooncrank import registry

#: Command classes by the kind that identifies them in the log.
COMMANDS: registry.Registry[type] = registry.Registry("command")


class CallState(enum.StrEnum):
    """State of an at-most-once call in the ledger."""

    #: Reserved; the owner may be sending the call.
    RESERVED = "reserved"
    #: Executed; the answer is stored unless it was too large.
    FINISHED = "finished"
    #: Not executed; the owner wrote no byte to any backend server.
    NOT_RUN = "not_run"
    #: Bytes were written, but no answer was received.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class CallKey:
    """Identifies an at-most-once call."""

    account: model.ClientAccountId
    service: model.ServiceName
    #: Value of the caller's Idempotency-Key header.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallOwner:
    """Identifies one reservation by one incarnation of an entry.

    Only the owner of a reserved call may send it.
    """

    node_id: model.NodeId
    #: Increases with each start of the entry.
    incarnation: int
    #: Increases with each reservation of one incarnation.
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Answer of a finished call, returned to retries of the call."""

    status: int
    content_type: str
    body: bytes


@COMMANDS.register("noop")
@dataclasses.dataclass(frozen=True, slots=True)
class NoOp:
    """Changes nothing; a new leader commits one to learn the commit index."""


@COMMANDS.register("apply_declarations")
@dataclasses.dataclass(frozen=True, slots=True)
class ApplyDeclarations:
    """Replaces the declarations if `base_revision` is the current one."""

    change_id: str
    base_revision: int
    declarations: model.Declarations
    author: str
    wall_ms: int


@COMMANDS.register("reserve_call")
@dataclasses.dataclass(frozen=True, slots=True)
class ReserveCall:
    """Reserves a call for one owner before its first byte is sent."""

    call: CallKey
    #: SHA-256 of method, path and body.
    body_digest: bytes
    owner: CallOwner
    wall_ms: int
    #: How long the record is kept after the call ends.
    retention_ms: int


@COMMANDS.register("finish_call")
@dataclasses.dataclass(frozen=True, slots=True)
class FinishCall:
    """Records the outcome of a reserved call, reported by its owner."""

    call: CallKey
    owner: CallOwner
    #: FINISHED, NOT_RUN or UNKNOWN.
    state: CallState
    wall_ms: int
    #: None unless FINISHED with an answer small enough to store.
    answer: StoredAnswer | None = None


@COMMANDS.register("resolve_call")
@dataclasses.dataclass(frozen=True, slots=True)
class ResolveCall:
    """Records an outcome that was looked up at the service.

    Replaces UNKNOWN, or RESERVED if the owner is dead.
    """

    call: CallKey
    #: FINISHED only: a lookup without a result does not prove that the call
    #: was not executed.
    state: CallState
    wall_ms: int
    answer: StoredAnswer | None = None


@COMMANDS.register("note_entry")
@dataclasses.dataclass(frozen=True, slots=True)
class RecordEntryIncarnation:
    """Records the current incarnation of an entry and its clock reading.

    Calls that earlier incarnations of the entry reserved become UNKNOWN: they
    may have been sent, and their outcome will not be reported.
    """

    node_id: model.NodeId
    incarnation: int
    wall_ms: int


@COMMANDS.register("put_replica")
@dataclasses.dataclass(frozen=True, slots=True)
class PutReplica:
    """Creates or changes a replica if its epoch is `base_epoch`.

    `base_epoch` is -1 for a new replica. The change is refused if another
    replica holds one of the instances.
    """

    replica: model.Replica
    base_epoch: int


@COMMANDS.register("mark_content")
@dataclasses.dataclass(frozen=True, slots=True)
class RecordContentCrash:
    """Records a crash that may have been caused by a request content."""

    #: SHA-256 of the content without the request id.
    digest: bytes
    #: Replica or backend server that crashed, with its incarnation.
    victim: str
    wall_ms: int
    #: When the record of the crash expires.
    lapses_wall_ms: int


@COMMANDS.register("lift_mark")
@dataclasses.dataclass(frozen=True, slots=True)
class ClearContentCrashes:
    """Removes the crash record of a content.

    Proposed by an operator, or after a run without a crash.
    """

    digest: bytes


@COMMANDS.register("drain_instance")
@dataclasses.dataclass(frozen=True, slots=True)
class DrainInstance:
    """Moves work off an instance and keeps it free until EndDrain."""

    instance_id: model.InstanceId
    wall_ms: int


@COMMANDS.register("end_drain")
@dataclasses.dataclass(frozen=True, slots=True)
class EndDrain:
    """Makes a drained instance available again."""

    instance_id: model.InstanceId


@COMMANDS.register("put_document")
@dataclasses.dataclass(frozen=True, slots=True)
class PutDocument:
    """Puts an operator's document in force if its version is the highest."""

    version: int
    #: Bytes as the operator sent them.
    document: bytes


@COMMANDS.register("form_group")
@dataclasses.dataclass(frozen=True, slots=True)
class FormGroup:
    """Creates a group with the next epoch if all its members are free."""

    service: model.ServiceName
    model_name: str
    members: tuple[model.GroupMember, ...]
    #: Term of the deciding leader; older terms are refused.
    term: int
    #: Whether the members only load the weights and then leave.
    is_preload: bool = False


@COMMANDS.register("move_group")
@dataclasses.dataclass(frozen=True, slots=True)
class SetGroupPhase:
    """Sets a group's phase; None removes the group and frees its members."""

    name: str
    phase: model.GroupPhase | None
    term: int
    waits_for_work: bool = False
    #: Sequence numbers of the reports that showed the members ready, in their
    #: order; empty to keep those that the group has.
    ready_sequences: tuple[int, ...] = ()
    #: Phase on which the change was decided; in another one it is refused.
    #: None, as older versions propose, to change any.
    from_phase: model.GroupPhase | None = None


@COMMANDS.register("release_members")
@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseMembers:
    """Frees members that were observed to have left a dissolving group."""

    name: str
    server_ids: tuple[model.BackendServerId, ...]
    term: int


#: Union of all commands.
Command = (
    NoOp
    | ApplyDeclarations
    | ReserveCall
    | FinishCall
    | ResolveCall
    | RecordEntryIncarnation
    | PutReplica
    | RecordContentCrash
    | ClearContentCrashes
    | DrainInstance
    | EndDrain
    | PutDocument
    | FormGroup
    | SetGroupPhase
    | ReleaseMembers
)
