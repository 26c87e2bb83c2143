"""How much each model service needs its next replica."""

import enum

from lagooncrank import model
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _instances


class Need(enum.IntEnum):
    """Classes of need; lower values go first."""

    BELOW_FLOOR = 0
    WANTED = 1
    SURPLUS = 2


def ceiling(service: model.ModelService) -> int:
    """Returns the most replicas that a service may have."""
    return max(service.replicas, service.max_replicas)


def need_for(service: model.ModelService, replicas: int) -> Need:
    """Returns the need for one replica more than `replicas`.

    >>> service = model.ModelService(model.ServiceName("drafts"), "v1", 3, 1, 2)
    >>> [need_for(service, n).name for n in range(4)]
    ['BELOW_FLOOR', 'WANTED', 'WANTED', 'SURPLUS']
    """
    if replicas < service.replicas_floor:
        return Need.BELOW_FLOOR
    if replicas < service.replicas:
        return Need.WANTED
    return Need.SURPLUS


class Needs:
    """Counts whole replicas of each service at one step.

    Args:
        fleet: Replicas and instances at this step.
    """

    def __init__(self, fleet: _fleet.Fleet) -> None:
        self._services = fleet.services
        self._whole = dict.fromkeys(fleet.services, 0)
        self._held = dict.fromkeys(fleet.services, 0)
        for replica in fleet.holding:
            if replica.service not in self._whole:
                continue
            self._held[replica.service] += 1
            if is_whole(replica, fleet):
                self._whole[replica.service] += 1

    def held(self, service: model.ModelService) -> int:
        """Returns how many replicas of a service hold instances."""
        return self._held[service.name]

    def whole(self, service: model.ModelService) -> int:
        """Returns how many replicas of a service serve with all members."""
        return self._whole[service.name]

    def of(self, replica: model.Replica) -> Need:
        """Returns the need for an incomplete replica to serve."""
        service = self._services.get(replica.service)
        if service is None:
            return Need.SURPLUS
        return need_for(service, self._whole[replica.service])


def is_whole(replica: model.Replica, fleet: _fleet.Fleet) -> bool:
    """Returns whether a replica serves with every member ready for it."""
    if replica.state is not model.ReplicaState.SERVING:
        return False
    return not fleet.missing_ranks(replica)


def is_stuck(replica: model.Replica, fleet: _fleet.Fleet) -> bool:
    """Returns whether a replica waits for a member past the grace."""
    members = fleet.members(replica)
    return any(
        is_overdue(members[rank], fleet) for rank in fleet.silent_ranks(replica)
    )


def is_overdue(
    instance: _instances.Instance | None, fleet: _fleet.Fleet
) -> bool:
    """Returns whether a member that is not ready was waited for enough."""
    if instance is None:
        since_ms = fleet.leader_since_ms
    elif instance.silent_since_ms is None:
        return True
    else:
        since_ms = instance.silent_since_ms
    return fleet.now_ms >= since_ms + fleet.rules.pause_grace_ms
