"""Priorities of replicas, by how far their service is below its target."""

import enum

from lagooncrank import model
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _instances


class ReplicaPriority(enum.IntEnum):
    """Priority of forming or repairing a replica; lower values come first."""

    BELOW_FLOOR = 0
    BELOW_TARGET = 1
    SURPLUS = 2


def replica_limit(service: model.ModelService) -> int:
    """Returns the highest number of replicas that a service may have."""
    return max(service.replicas, service.max_replicas)


def next_replica_priority(
    service: model.ModelService, replicas: int
) -> ReplicaPriority:
    """Returns the priority of a replica in addition to `replicas`.

    >>> service = model.ModelService(model.ServiceName("drafts"), "v1", 3, 1, 2)
    >>> [next_replica_priority(service, n).name for n in range(4)]
    ['BELOW_FLOOR', 'BELOW_TARGET', 'BELOW_TARGET', 'SURPLUS']
    """
    if replicas < service.replicas_floor:
        return ReplicaPriority.BELOW_FLOOR
    if replicas < service.replicas:
        return ReplicaPriority.BELOW_TARGET
    return ReplicaPriority.SURPLUS


class ReplicaCounts:
    """Number of assigned and fully serving replicas of each service.

    Args:
        fleet: Replicas and instances at this step.
    """

    def __init__(self, fleet: _fleet.Fleet) -> None:
        self._services = fleet.services
        self._fully_serving = dict.fromkeys(fleet.services, 0)
        self._assigned = dict.fromkeys(fleet.services, 0)
        for replica in fleet.active_replicas:
            if replica.service not in self._fully_serving:
                continue
            self._assigned[replica.service] += 1
            if is_fully_serving(replica, fleet):
                self._fully_serving[replica.service] += 1

    def assigned(self, service: model.ModelService) -> int:
        """Returns how many replicas of a service have instances assigned."""
        return self._assigned[service.name]

    def fully_serving(self, service: model.ModelService) -> int:
        """Returns how many replicas of a service serve with all members."""
        return self._fully_serving[service.name]

    def repair_priority(self, replica: model.Replica) -> ReplicaPriority:
        """Returns the priority of repairing an incomplete replica."""
        service = self._services.get(replica.service)
        if service is None:
            return ReplicaPriority.SURPLUS
        return next_replica_priority(
            service, self._fully_serving[replica.service]
        )


def is_fully_serving(replica: model.Replica, fleet: _fleet.Fleet) -> bool:
    """Returns whether a replica is serving and all its members are loaded."""
    if replica.state is not model.ReplicaState.SERVING:
        return False
    return not fleet.unloaded_ranks(replica)


def has_overdue_member(replica: model.Replica, fleet: _fleet.Fleet) -> bool:
    """Returns whether a member of a replica should be replaced."""
    members = fleet.members(replica)
    return any(
        is_overdue(members[rank], fleet)
        for rank in fleet.unready_ranks(replica)
    )


def is_overdue(
    instance: _instances.Instance | None, fleet: _fleet.Fleet
) -> bool:
    """Returns whether a member that is not ready should be replaced.

    A member whose lease expired is given the declared grace period to return.
    A leaving member is replaced at once.
    """
    if instance is None:
        since_ms = fleet.leader_since_ms
    elif instance.lease_expired_ms is None:
        return True
    else:
        since_ms = instance.lease_expired_ms
    return fleet.now_ms >= since_ms + fleet.rules.pause_grace_ms
