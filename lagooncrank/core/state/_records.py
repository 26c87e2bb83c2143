"""What the replicated state holds, and what applying a command returns."""

import dataclasses

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.state import _commands


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """One accepted revision of the declarations."""

    revision: int
    change_id: str
    author: str
    wall_ms: int
    declarations: model.Declarations


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRecord:
    """An accepted change whose revision is no longer kept."""

    change_id: str
    revision: int
    #: Digest of the declarations.
    digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CallRecord:
    """What the ledger holds of one call."""

    call: _commands.CallKey
    body_digest: bytes
    owner: _commands.CallOwner
    state: _commands.CallState
    reserved_wall_ms: int
    #: When the record may be forgotten; 0 while it is reserved or unknown.
    forget_wall_ms: int = 0
    answer: _commands.StoredAnswer | None = None
    retention_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EntryIncarnation:
    """What the ledger knows of one entry."""

    node_id: model.NodeId
    #: Latest time that the entry told.
    wall_ms: int = 0
    #: Latest start of the entry; reservations of earlier ones are refused.
    incarnation: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ContentCrashRecord:
    """Crashes counted against one request content."""

    digest: bytes
    #: Distinct replicas or backend servers that crashed.
    victims: tuple[str, ...]
    lapses_wall_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """An instance that an operator wants free of work."""

    instance_id: model.InstanceId
    #: When the drain was ordered.
    wall_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """An operator's document in force, with the version it carries."""

    version: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What applying a command did, the same on every node."""

    code: results.ResultCode
    #: Sentence for a person; empty on success.
    reason: str = ""
    #: Revision in force after an ApplyDeclarations, accepted or refused.
    revision: int = 0
    #: Record after a ledger command.
    call: CallRecord | None = None
    #: Replica after a PutReplica, or the one in its way.
    replica: model.Replica | None = None
    #: Group after a FormGroup.
    group: model.Group | None = None

    @property
    def ok(self) -> bool:
        """Whether the command took effect."""
        return self.code is results.ResultCode.OK
