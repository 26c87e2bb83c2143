"""What backend servers report of themselves, and the groups they form."""

import dataclasses
import enum

from lagooncrank.model import _identity


class ServerState(enum.StrEnum):
    """Whether a backend server takes new work."""

    READY = "ready"
    #: Finishes its work and will end.
    DRAINING = "draining"
    #: Has taken itself off; it may still finish work.
    GONE = "gone"


class MemberState(enum.StrEnum):
    """How far an engine is in its group."""

    JOINING = "joining"
    READY = "ready"
    #: The head serves.
    OPEN = "open"
    #: The head finishes its work and then is ready again.
    CLOSING = "closing"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """An engine's place in a group, as the engine reports it."""

    group: str
    epoch: int
    rank: int
    state: MemberState


@dataclasses.dataclass(frozen=True, slots=True)
class ServerReport:
    """One report of a backend server."""

    server_id: _identity.BackendServerId
    #: Unix time of its start; the same id may start again.
    born_ms: int
    #: Higher for each report of one start.
    sequence: int
    service: _identity.ServiceName
    address: str
    failure_domain: _identity.FailureDomainId
    state: ServerState
    slots: int
    #: Engines that may form one replica without loss of speed.
    fabric_domain: str = ""
    #: Models whose weights its host keeps.
    staged: tuple[str, ...] = ()
    #: Models whose weights the engine itself holds.
    loaded: tuple[str, ...] = ()
    membership: Membership | None = None

    @property
    def incarnation_id(self) -> tuple[str, int]:
        """Names this start of the server."""
        return (self.server_id, self.born_ms)


class GroupPhase(enum.StrEnum):
    """What the leader wants of a group."""

    #: Members join.
    FORMING = "forming"
    #: The head may serve.
    SERVING = "serving"
    #: The head must close before any member is used again.
    DISSOLVING = "dissolving"


@dataclasses.dataclass(frozen=True, slots=True)
class GroupMember:
    """One start of an engine, as member of a group."""

    server_id: _identity.BackendServerId
    born_ms: int
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A replica of a model: engines that serve together."""

    name: str
    #: Higher than that of any group before.
    epoch: int
    service: _identity.ServiceName
    model_name: str
    #: The first one is the head, which takes the requests.
    members: tuple[GroupMember, ...]
    phase: GroupPhase
    #: Whether its head may still have work that is worth waiting for.
    waits_for_work: bool = False

    @property
    def head(self) -> GroupMember:
        """The member that takes the requests."""
        return self.members[0]
