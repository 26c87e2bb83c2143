"""Takes a paused member back while its replacement still loads."""

from collections.abc import Iterator
import dataclasses

from lagooncrank import model
from lagooncrank.core.placement import _changes
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _instances
from lagooncrank.core.placement import _pool


@dataclasses.dataclass(frozen=True, slots=True)
class _Place:
    replica_id: model.ReplicaId
    rank: int


class Returns:
    """Remembers replaced members for as long as one node leads."""

    def __init__(self) -> None:
        self._replaced: dict[_Place, _instances.Instance] = {}

    def note(
        self, replica: model.Replica, rank: int, member: _instances.Instance
    ) -> None:
        """Notes that a member of a replica is replaced now."""
        self._replaced[_Place(replica.replica_id, rank)] = member

    def run(
        self,
        fleet: _fleet.Fleet,
        pool: _pool.Pool,
        changes: _changes.Changes,
    ) -> None:
        """Takes members back that can serve before their replacements.

        Args:
            fleet: Replicas and instances at this step.
            pool: Free instances; those taken back leave it.
            changes: Receives the changes.
        """
        self._forget(fleet)
        for replica in fleet.holding:
            service = fleet.services.get(replica.service)
            if service is None or replica.state is model.ReplicaState.SERVING:
                continue
            found = dict(self._returned(replica, fleet, pool))
            if found:
                pool.remove(tuple(found.values()))
                changes.reassign(replica, service, found)

    def _returned(
        self, replica: model.Replica, fleet: _fleet.Fleet, pool: _pool.Pool
    ) -> Iterator[tuple[int, _instances.Instance]]:
        for rank in fleet.missing_ranks(replica):
            place = _Place(replica.replica_id, rank)
            member = self._replaced.get(place)
            if member is None or not pool.has(member):
                continue
            if _keeps_weights(member, replica):
                yield rank, member

    def _forget(self, fleet: _fleet.Fleet) -> None:
        over = [
            place
            for place in self._replaced
            if _has_ended(fleet.replicas.get(place.replica_id))
        ]
        for place in over:
            del self._replaced[place]


def _has_ended(replica: model.Replica | None) -> bool:
    if replica is None or not replica.holds_instances:
        return True
    return replica.state is model.ReplicaState.SERVING


def _keeps_weights(member: _instances.Instance, replica: model.Replica) -> bool:
    """Returns whether a replaced member can serve again without a load.

    An engine that ignores fencing numbers unloads before it is used again.
    """
    announcement = member.announcement
    loaded = announcement.loaded
    if loaded is None or not announcement.checks_fencing:
        return False
    same = (loaded.replica_id, loaded.version)
    return loaded.ready and same == (replica.replica_id, replica.version)
