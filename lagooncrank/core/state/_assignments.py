"""Assignment of instances to replicas."""

from collections.abc import Iterable

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.state import _commands
from lagooncrank.core.state import _records

#: Maximum number of ended replicas kept for operators to inspect; they hold no
#: instances.
MAX_ENDED_REPLICAS = 200

_Code = results.ResultCode


class Assignments:
    """Assigns every instance to at most one replica."""

    def __init__(
        self,
        replicas: Iterable[model.Replica] = (),
        last_fencing_number: int = 0,
    ) -> None:
        self.replicas = {r.replica_id: r for r in replicas}
        self._holders = {
            instance_id: r.replica_id
            for r in self.replicas.values()
            if r.holds_instances
            for instance_id in r.instances
        }
        self.last_fencing_number = last_fencing_number

    def put(self, command: _commands.PutReplica) -> _records.Outcome:
        """Creates or changes a replica if its epoch is the expected one."""
        replica = command.replica
        current = self.replicas.get(replica.replica_id)
        refusal = (
            _refuse_wrong_epoch(command, current)
            or self._refuse_stale_fencing_number(replica, current)
            or self._refuse_taken_instances(replica)
        )
        if refusal is not None:
            return refusal
        self._replace(current, replica)
        self.last_fencing_number = max(
            self.last_fencing_number, replica.fencing_number
        )
        self._evict_ended_replicas()
        return _records.Outcome(_Code.OK, replica=replica)

    def find_holder(
        self, instance_id: model.InstanceId
    ) -> model.Replica | None:
        """Returns the replica that holds an instance, or None."""
        replica_id = self._holders.get(instance_id)
        return None if replica_id is None else self.replicas[replica_id]

    def _replace(
        self, current: model.Replica | None, replica: model.Replica
    ) -> None:
        if current is not None:
            # Reinserted at the end, which orders ended replicas by their end.
            del self.replicas[current.replica_id]
            if current.holds_instances:
                for instance_id in current.instances:
                    del self._holders[instance_id]
        self.replicas[replica.replica_id] = replica
        if replica.holds_instances:
            for instance_id in replica.instances:
                self._holders[instance_id] = replica.replica_id

    def _refuse_stale_fencing_number(
        self, replica: model.Replica, current: model.Replica | None
    ) -> _records.Outcome | None:
        is_unchanged = (
            current and current.fencing_number == replica.fencing_number
        )
        if is_unchanged or replica.fencing_number > self.last_fencing_number:
            return None
        return _records.Outcome(
            _Code.STALE_FENCING_NUMBER,
            f"fencing number {replica.fencing_number} of replica "
            f"{replica.replica_id!r} must exceed {self.last_fencing_number}",
            replica=current,
        )

    def _refuse_taken_instances(
        self, replica: model.Replica
    ) -> _records.Outcome | None:
        if not replica.holds_instances:
            return None
        if len(set(replica.instances)) != len(replica.instances):
            return _records.Outcome(
                _Code.INSTANCE_TAKEN,
                f"replica {replica.replica_id!r} lists an instance twice",
            )
        for instance_id in replica.instances:
            holder = self.find_holder(instance_id)
            if holder and holder.replica_id != replica.replica_id:
                return _records.Outcome(
                    _Code.INSTANCE_TAKEN,
                    f"instance {instance_id!r} is held by replica "
                    f"{holder.replica_id!r}",
                    replica=holder,
                )
        return None

    def _evict_ended_replicas(self) -> None:
        ended = [r for r in self.replicas.values() if not r.holds_instances]
        for replica in ended[:-MAX_ENDED_REPLICAS]:
            del self.replicas[replica.replica_id]


def _refuse_wrong_epoch(
    command: _commands.PutReplica, current: model.Replica | None
) -> _records.Outcome | None:
    epoch = -1 if current is None else current.epoch
    if command.base_epoch == epoch and command.replica.epoch == epoch + 1:
        return None
    return _records.Outcome(
        _Code.WRONG_EPOCH,
        f"replica {command.replica.replica_id!r} has epoch {epoch}; a change "
        f"from {command.base_epoch} to {command.replica.epoch} is refused",
        replica=current,
    )
