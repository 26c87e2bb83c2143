"""What one step of placement looks at: replicas, members, free instances."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from lagooncrank import model
from lagooncrank.core.placement import _instances
from lagooncrank.core.placement import _types


@dataclasses.dataclass(frozen=True, slots=True)
class _Status:
    members: tuple[_instances.Instance | None, ...]
    silent_ranks: tuple[int, ...]
    missing_ranks: tuple[int, ...]


class Fleet:
    """Replicas and instances at one step.

    Args:
        snapshot: What the leader knows.
        table: What it remembers of instances.
        leader_since_ms: When this node's leadership began.
        now_ms: Monotonic time of the leader, in milliseconds.
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
        self._statuses: dict[model.ReplicaId, _Status] = {}
        self.replicas = snapshot.replicas
        self.holding = tuple(
            r for r in snapshot.replicas.values() if r.holds_instances
        )
        self.services: Mapping[model.ServiceName, model.ModelService] = {
            s.name: s for s in snapshot.declarations.model_services
        }
        self.holders = {
            instance_id: replica
            for replica in self.holding
            for instance_id in replica.instances
        }

    def instances(self) -> Iterator[_instances.Instance]:
        """Yields every instance that the leader remembers."""
        return iter(self._table)

    def members(
        self, replica: model.Replica
    ) -> tuple[_instances.Instance | None, ...]:
        """Returns the members of a replica by rank, None where never heard."""
        return self._status(replica).members

    def silent_ranks(self, replica: model.Replica) -> tuple[int, ...]:
        """Returns the ranks of a replica whose instance is not ready."""
        return self._status(replica).silent_ranks

    def missing_ranks(self, replica: model.Replica) -> tuple[int, ...]:
        """Returns the ranks whose instance is not loaded for the replica."""
        return self._status(replica).missing_ranks

    def _status(self, replica: model.Replica) -> _Status:
        status = self._statuses.get(replica.replica_id)
        if status is None:
            status = _status_of(replica, self._table)
            self._statuses[replica.replica_id] = status
        return status

    def free(self) -> dict[model.FabricDomainId, list[_instances.Instance]]:
        """Returns the instances that a replica may take, by domain."""
        found: dict[model.FabricDomainId, list[_instances.Instance]] = {}
        free = [instance for instance in self._table if self.is_free(instance)]
        for instance in sorted(free, key=lambda i: i.instance_id):
            domain = instance.announcement.fabric_domain_id
            found.setdefault(domain, []).append(instance)
        return found

    def is_free(self, instance: _instances.Instance) -> bool:
        """Returns whether a replica may take an instance now."""
        return (
            instance.instance_id not in self.holders
            and instance.is_ready
            and instance.instance_id not in self.drained
        )


def holds(
    instance: _instances.Instance | None, replica: model.Replica
) -> model.LoadedModel | None:
    """Returns what a member holds for exactly this assignment, or None."""
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
    """Returns whether a member is loaded for exactly this assignment."""
    loaded = holds(instance, replica)
    return loaded is not None and loaded.ready


def _status_of(
    replica: model.Replica, table: _instances.InstanceTable
) -> _Status:
    members = tuple(table.get(i) for i in replica.instances)
    return _Status(
        members=members,
        silent_ranks=tuple(
            rank
            for rank, member in enumerate(members)
            if member is None or not member.is_ready
        ),
        missing_ranks=tuple(
            rank
            for rank, member in enumerate(members)
            if not is_ready_for(member, replica)
        ),
    )
