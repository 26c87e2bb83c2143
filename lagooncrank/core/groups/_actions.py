"""Actions of the leader on groups."""

import dataclasses
import enum

from lagooncrank import model


class OrderKind(enum.StrEnum):
    """Kinds of orders to engines."""

    JOIN = "join"
    OPEN = "open"
    #: The head finishes its requests and is then ready.
    CLOSE = "close"
    #: The head aborts its requests and is then ready.
    CLOSE_NOW = "close_now"
    LEAVE = "leave"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to one engine."""

    kind: OrderKind
    group: model.Group
    member: model.GroupMember


@dataclasses.dataclass(frozen=True, slots=True)
class PhaseChange:
    """A change of a group's phase to commit."""

    group: model.Group
    #: The new phase, or None to remove the group.
    phase: model.GroupPhase | None
    #: Reason for the decision log.
    reason: str
    #: Whether the head may finish its requests before the group is dissolved.
    waits_for_work: bool = False
    #: Sequence numbers of the reports that show the members ready, in their
    #: order; empty if the change is not based on their readiness.
    ready_sequences: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRelease:
    """A release of members that have left a dissolving group, to commit."""

    group: model.Group
    server_ids: tuple[model.BackendServerId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StageOrder:
    """An order to an engine's host to load a model from the weight store."""

    member: model.GroupMember
    model_name: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedGroup:
    """A new group to commit; its epoch is assigned by the commit."""

    service: model.ServiceName
    model_name: str
    members: tuple[model.GroupMember, ...]
    #: Number of members whose host must load from the weight store.
    cold_members: int
    #: Whether the members only load the weights and then leave.
    is_preload: bool = False


Action = Order | PhaseChange | MemberRelease | StageOrder | PlannedGroup
