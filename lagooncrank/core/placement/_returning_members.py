"""Reinstates a paused member while its replacement is still loading."""

from collections.abc import Iterator
import dataclasses

from lagooncrank import model
from lagooncrank.core.placement import _changes
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _instances
from lagooncrank.core.placement import _pool


@dataclasses.dataclass(frozen=True, slots=True)
class _MemberPosition:
    replica_id: model.ReplicaId
    rank: int


class ReturningMembers:
    """Members that repairs have replaced, kept for one leadership.

    A member that returns with its weights loaded can serve earlier than its
    replacement.
    """

    def __init__(self) -> None:
        self._replaced: dict[_MemberPosition, _instances.Instance] = {}

    def record_replaced(
        self, replica: model.Replica, rank: int, member: _instances.Instance
    ) -> None:
        """Records that a member of a replica is being replaced."""
        self._replaced[_MemberPosition(replica.replica_id, rank)] = member

    def reinstate(
        self,
        fleet: _fleet.Fleet,
        pool: _pool.Pool,
        changes: _changes.Changes,
    ) -> None:
        """Reinstates members that can serve before their replacements.

        Args:
            fleet: Replicas and instances at this step.
            pool: Free instances; reinstated ones are removed from it.
            changes: Receives the changes.
        """
        self._drop_finished(fleet)
        for replica in fleet.active_replicas:
            service = fleet.services.get(replica.service)
            if service is None or replica.state is model.ReplicaState.SERVING:
                continue
            members = dict(self._reinstatable(replica, fleet, pool))
            if members:
                pool.remove(tuple(members.values()))
                changes.reassign(replica, service, members)

    def _reinstatable(
        self, replica: model.Replica, fleet: _fleet.Fleet, pool: _pool.Pool
    ) -> Iterator[tuple[int, _instances.Instance]]:
        for rank in fleet.unloaded_ranks(replica):
            position = _MemberPosition(replica.replica_id, rank)
            member = self._replaced.get(position)
            if member is None or not pool.is_available(member):
                continue
            if _can_serve_without_load(member, replica):
                yield rank, member

    def _drop_finished(self, fleet: _fleet.Fleet) -> None:
        finished = [
            position
            for position in self._replaced
            if _is_finished(fleet.replicas.get(position.replica_id))
        ]
        for position in finished:
            del self._replaced[position]


def _is_finished(replica: model.Replica | None) -> bool:
    if replica is None or not replica.holds_instances:
        return True
    return replica.state is model.ReplicaState.SERVING


def _can_serve_without_load(
    member: _instances.Instance, replica: model.Replica
) -> bool:
    """Returns whether a replaced member still holds the replica's weights.

    An engine that ignores fencing numbers must unload before it is used
    again, so it never qualifies.
    """
    announcement = member.announcement
    loaded = announcement.loaded
    if loaded is None or not announcement.checks_fencing:
        return False
    loaded_weights = (loaded.replica_id, loaded.version)
    return loaded.ready and loaded_weights == (
        replica.replica_id,
        replica.version,
    )
