"""What the leader does about groups."""

import dataclasses
import enum

from lagooncrank import model


class OrderKind(enum.StrEnum):
    """Orders that engines take."""

    JOIN = "join"
    OPEN = "open"
    #: The head finishes its work, then is ready.
    CLOSE = "close"
    #: The head cuts its work off, then is ready.
    CLOSE_NOW = "close_now"
    LEAVE = "leave"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order to one engine."""

    kind: OrderKind
    group: model.Group
    member: model.GroupMember


@dataclasses.dataclass(frozen=True, slots=True)
class PhaseChange:
    """A change of a group's phase, to be committed; None forgets it."""

    group: model.Group
    phase: model.GroupPhase | None
    #: Why, for the decision log.
    reason: str
    waits_for_work: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRelease:
    """Members that have left a dissolving group, to be committed."""

    group: model.Group
    server_ids: tuple[model.BackendServerId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StageOrder:
    """Has an engine's host load a model from the weight store."""

    member: model.GroupMember
    model_name: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedGroup:
    """A new group, to be committed; its epoch comes with the commit."""

    service: model.ServiceName
    model_name: str
    members: tuple[model.GroupMember, ...]
    #: Members whose host must load the weights from the weight store.
    cold_members: int


Action = Order | PhaseChange | MemberRelease | StageOrder | PlannedGroup
