"""Records of the replicated state, and the outcome of a command."""

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
    """An accepted change whose revision is no longer kept.

    Lets a resent change be recognized.
    """

    change_id: str
    revision: int
    #: Digest of the declarations.
    digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CallRecord:
    """The ledger's record of one at-most-once call."""

    call: _commands.CallKey
    body_digest: bytes
    owner: _commands.CallOwner
    state: _commands.CallState
    reserved_wall_ms: int
    #: When the record expires; 0 while the call is RESERVED or UNKNOWN.
    forget_wall_ms: int = 0
    answer: _commands.StoredAnswer | None = None
    retention_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EntryIncarnation:
    """Newest known incarnation and clock reading of one entry."""

    node_id: model.NodeId
    #: Latest clock reading that the entry reported.
    wall_ms: int = 0
    #: Newest incarnation; reservations of earlier ones are refused.
    incarnation: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ContentCrashRecord:
    """Crashes that one request content may have caused."""

    digest: bytes
    #: Distinct replicas or backend servers that crashed.
    victims: tuple[str, ...]
    #: When the record expires.
    lapses_wall_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """An instance that an operator drains."""

    instance_id: model.InstanceId
    #: When the drain was ordered.
    wall_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """An operator's document in force and its version."""

    version: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of applying a command, the same on every node."""

    code: results.ResultCode
    #: Human-readable reason; empty on success.
    reason: str = ""
    #: Revision in force after an ApplyDeclarations, whether accepted or not.
    revision: int = 0
    #: Call record after a ledger command.
    call: CallRecord | None = None
    #: Replica after a PutReplica, or the one that conflicts with it.
    replica: model.Replica | None = None
    #: Group after a command that creates or changes one.
    group: model.Group | None = None

    @property
    def ok(self) -> bool:
        """Whether the command took effect."""
        return self.code is results.ResultCode.OK
