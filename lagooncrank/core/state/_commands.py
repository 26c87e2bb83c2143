"""Commands of the replicated log, each registered under its kind.

A command carries everything that its effect depends on, wall time included,
so that every node that applies the same log holds the same state.
"""

import dataclasses
import enum

from lagooncrank import model
from lagooncrank import registry

#: Every kind of command by the name it has in the log.
COMMANDS: registry.Registry[type] = registry.Registry("command")


class CallState(enum.StrEnum):
    """What the ledger knows of a call that may not be repeated."""

    #: Reserved; the owner may be sending it.
    RESERVED = "reserved"
    #: Ran; the answer is stored unless it was too large.
    FINISHED = "finished"
    #: The owner wrote nothing to any backend server.
    NOT_RUN = "not_run"
    #: Bytes were written and no answer came.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class CallKey:
    """Names one call that may not be repeated."""

    account: model.ClientAccountId
    service: model.ServiceName
    #: The caller's Idempotency-Key.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallOwner:
    """The one start of an entry that may send a reserved call."""

    node_id: model.NodeId
    #: Higher for each start of the entry.
    incarnation: int
    #: Higher for each reservation of one start.
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Answer of a finished call, given again to a repeat."""

    status: int
    content_type: str
    body: bytes


@COMMANDS.register("noop")
@dataclasses.dataclass(frozen=True, slots=True)
class NoOp:
    """Changes nothing; a new leader commits one to learn what committed."""


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
    #: How long the record is kept after it ends.
    retention_ms: int


@COMMANDS.register("finish_call")
@dataclasses.dataclass(frozen=True, slots=True)
class FinishCall:
    """Records how a reserved call ended; only its owner may."""

    call: CallKey
    owner: CallOwner
    #: FINISHED, NOT_RUN or UNKNOWN.
    state: CallState
    wall_ms: int
    #: None unless FINISHED with an answer small enough to keep.
    answer: StoredAnswer | None = None


@COMMANDS.register("resolve_call")
@dataclasses.dataclass(frozen=True, slots=True)
class ResolveCall:
    """Replaces UNKNOWN, or a dead owner's RESERVED, by a looked-up outcome."""

    call: CallKey
    #: FINISHED only: a lookup that finds nothing proves nothing.
    state: CallState
    wall_ms: int
    answer: StoredAnswer | None = None


@COMMANDS.register("note_entry")
@dataclasses.dataclass(frozen=True, slots=True)
class RecordEntryIncarnation:
    """Tells of an entry's present start and its clock.

    What earlier starts of the entry had reserved becomes UNKNOWN: they may
    have sent it, and nothing will tell.
    """

    node_id: model.NodeId
    incarnation: int
    wall_ms: int


@COMMANDS.register("put_replica")
@dataclasses.dataclass(frozen=True, slots=True)
class PutReplica:
    """Creates or changes a replica if its epoch is `base_epoch`.

    `base_epoch` is -1 for a new replica. The change is refused when one of
    the instances is held by another replica.
    """

    replica: model.Replica
    base_epoch: int


@COMMANDS.register("mark_content")
@dataclasses.dataclass(frozen=True, slots=True)
class RecordContentCrash:
    """Counts a crash against a request content."""

    #: SHA-256 of the content, without the request id.
    digest: bytes
    #: Replica or backend server that crashed, with its incarnation.
    victim: str
    wall_ms: int
    lapses_wall_ms: int


@COMMANDS.register("lift_mark")
@dataclasses.dataclass(frozen=True, slots=True)
class ClearContentCrashes:
    """Removes the marks of a content, on an operator's word or a clean run."""

    digest: bytes


@COMMANDS.register("drain_instance")
@dataclasses.dataclass(frozen=True, slots=True)
class DrainInstance:
    """Has an instance give up its work and get no more, until EndDrain."""

    instance_id: model.InstanceId
    wall_ms: int


@COMMANDS.register("end_drain")
@dataclasses.dataclass(frozen=True, slots=True)
class EndDrain:
    """Lets a drained instance be used again."""

    instance_id: model.InstanceId


@COMMANDS.register("put_document")
@dataclasses.dataclass(frozen=True, slots=True)
class PutDocument:
    """Puts an operator's document in force if its version is the highest."""

    version: int
    #: As the operator sent it.
    document: bytes


@COMMANDS.register("form_group")
@dataclasses.dataclass(frozen=True, slots=True)
class FormGroup:
    """Creates a group under the next epoch if all its members are free."""

    service: model.ServiceName
    model_name: str
    members: tuple[model.GroupMember, ...]
    #: Term of the leader that decided it; older terms are refused.
    term: int


@COMMANDS.register("move_group")
@dataclasses.dataclass(frozen=True, slots=True)
class SetGroupPhase:
    """Changes the phase of a group; None forgets it and frees its members."""

    name: str
    phase: model.GroupPhase | None
    term: int
    waits_for_work: bool = False


@COMMANDS.register("release_members")
@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseMembers:
    """Frees members of a dissolving group that were seen to have left it."""

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
