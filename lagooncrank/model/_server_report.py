"""Reports of backend servers, and the groups that engines form.

Deployments whose nodes discover each other through seeds use these classes,
the others `Announcement` and `Replica`.
"""

import dataclasses
import enum

from lagooncrank.model import _identity


class ServerState(enum.StrEnum):
    """State of a backend server, as the server reports it."""

    READY = "ready"
    #: Finishes its requests and then terminates.
    DRAINING = "draining"
    #: Has deregistered; it may still be finishing requests.
    GONE = "gone"


class MemberState(enum.StrEnum):
    """State of an engine as a member of a group."""

    JOINING = "joining"
    READY = "ready"
    #: The head accepts requests.
    OPEN = "open"
    #: The head finishes its requests and then becomes ready again.
    CLOSING = "closing"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """Membership of an engine in a group, as the engine reports it."""

    group: str
    epoch: int
    rank: int
    state: MemberState


@dataclasses.dataclass(frozen=True, slots=True)
class ServerReport:
    """Report that a backend server sends about itself."""

    server_id: _identity.BackendServerId
    #: Start of the process, in Unix time; a restart keeps the server id.
    born_ms: int
    #: Increases with each report of one start.
    sequence: int
    service: _identity.ServiceName
    address: str
    failure_domain: _identity.FailureDomainId
    state: ServerState
    slots: int
    #: Set of engines that can form a replica without loss of speed.
    fabric_domain: str = ""
    #: Models with a copy of the weights on the host.
    staged: tuple[str, ...] = ()
    #: Models with weights in the memory of the engine. An engine that leaves
    #: its group keeps them until it joins another one.
    loaded: tuple[str, ...] = ()
    membership: Membership | None = None

    @property
    def incarnation_id(self) -> tuple[str, int]:
        """Identifies this start of the server."""
        return (self.server_id, self.born_ms)


class GroupPhase(enum.StrEnum):
    """Phase of a group, set by the leader."""

    #: Members are joining.
    FORMING = "forming"
    #: The head may accept requests.
    SERVING = "serving"
    #: The head must close before any member joins another group.
    DISSOLVING = "dissolving"


@dataclasses.dataclass(frozen=True, slots=True)
class GroupMember:
    """One start of an engine that is a member of a group."""

    server_id: _identity.BackendServerId
    born_ms: int
    address: str
    #: Sequence number of the newest report that a decision about the member was
    #: based on; 0 if it is not known. Reports with lower numbers say nothing
    #: about its membership.
    report_sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A replica of a model: engines that together serve it."""

    name: str
    #: Higher than the epoch of any earlier group.
    epoch: int
    service: _identity.ServiceName
    model_name: str
    #: The first member is the head, which receives the requests.
    members: tuple[GroupMember, ...]
    phase: GroupPhase
    #: Whether the head may finish its requests before the group is dissolved.
    waits_for_work: bool = False
    #: Whether the members only load the model's weights into memory and then
    #: leave; the head is never opened.
    is_preload: bool = False

    @property
    def head(self) -> GroupMember:
        """The member that receives the requests."""
        return self.members[0]
