"""Replicas, their members and free instances at one planning step."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from lagooncrank import model
from lagooncrank.core.placement import _instances
from lagooncrank.core.placement import _types


@dataclasses.dataclass(frozen=True, slots=True)
class _MemberStatus:
    members: tuple[_instances.Instance | None, ...]
    unready_ranks: tuple[int, ...]
    unloaded_ranks: tuple[int, ...]


class Fleet:
    """Replicas and instances at one planning step.

    Args:
        snapshot: Cluster state as the leader knows it.
        table: Instances seen since this node became leader.
        leader_since_ms: Start of this node's leadership, in monotonic time.
        now_ms: Monotonic time of the leader.
    """

    def __init__(
        self,
        snapshot: _types.ClusterSnapshot,
        table: _instances.InstanceTable,
        leader_since_ms: int,
        now_ms: int,
    ) -> None:
        self.declarations = snapshot.declarations
        self.rules = snapshot.declarations.placement
        self.drained = snapshot.drained
        self.leader_since_ms = leader_since_ms
        self.now_ms = now_ms
        self._table = table
        self._statuses: dict[model.ReplicaId, _MemberStatus] = {}
        self.replicas = snapshot.replicas
        self.active_replicas = tuple(
            r for r in snapshot.replicas.values() if r.holds_instances
        )
        self.services: Mapping[model.ServiceName, model.ModelService] = {
            s.name: s for s in snapshot.declarations.model_services
        }
        self.replica_by_instance = {
            instance_id: replica
            for replica in self.active_replicas
            for instance_id in replica.instances
        }

    def instances(self) -> Iterator[_instances.Instance]:
        """Yields every instance in the leader's table."""
        return iter(self._table)

    def members(
        self, replica: model.Replica
    ) -> tuple[_instances.Instance | None, ...]:
        """Returns the members of a replica by rank.

        A member is None if this leader has never seen its instance.
        """
        return self._status(replica).members

    def unready_ranks(self, replica: model.Replica) -> tuple[int, ...]:
        """Returns the ranks of a replica whose instance is not ready."""
        return self._status(replica).unready_ranks

    def unloaded_ranks(self, replica: model.Replica) -> tuple[int, ...]:
        """Returns the ranks whose instance is not loaded for the replica."""
        return self._status(replica).unloaded_ranks

    def _status(self, replica: model.Replica) -> _MemberStatus:
        status = self._statuses.get(replica.replica_id)
        if status is None:
            status = _member_status(replica, self._table)
            self._statuses[replica.replica_id] = status
        return status

    def free_by_domain(
        self,
    ) -> dict[model.FabricDomainId, list[_instances.Instance]]:
        """Returns the instances that can be assigned, by fabric domain."""
        free_by_domain: dict[
            model.FabricDomainId, list[_instances.Instance]
        ] = {}
        free = [instance for instance in self._table if self.is_free(instance)]
        for instance in sorted(free, key=lambda i: i.instance_id):
            domain = instance.announcement.fabric_domain_id
            free_by_domain.setdefault(domain, []).append(instance)
        return free_by_domain

    def is_free(self, instance: _instances.Instance) -> bool:
        """Returns whether an instance can be assigned to a replica now."""
        return (
            instance.instance_id not in self.replica_by_instance
            and instance.is_ready
            and instance.instance_id not in self.drained
        )


def loaded_model_for(
    instance: _instances.Instance | None, replica: model.Replica
) -> model.LoadedModel | None:
    """Returns the model that a member loaded for exactly this assignment.

    None if the member is not ready, or if its model has another replica,
    fencing number or version.
    """
    if instance is None or not instance.is_ready:
        return None
    loaded = instance.announcement.loaded
    if loaded is None or loaded.replica_id != replica.replica_id:
        return None
    same_number = loaded.fencing_number == replica.fencing_number
    same_version = loaded.version == replica.version
    return loaded if same_number and same_version else None


def is_ready_for(
    instance: _instances.Instance | None, replica: model.Replica
) -> bool:
    """Returns whether a member finished loading for exactly this assignment."""
    loaded = loaded_model_for(instance, replica)
    return loaded is not None and loaded.ready


def _member_status(
    replica: model.Replica, table: _instances.InstanceTable
) -> _MemberStatus:
    members = tuple(table.get(i) for i in replica.instances)
    return _MemberStatus(
        members=members,
        unready_ranks=tuple(
            rank
            for rank, member in enumerate(members)
            if member is None or not member.is_ready
        ),
        unloaded_ranks=tuple(
            rank
            for rank, member in enumerate(members)
            if not is_ready_for(member, replica)
        ),
    )
