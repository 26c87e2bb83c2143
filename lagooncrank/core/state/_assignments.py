"""Assignment of instances to replicas."""

from collections.abc import Iterable

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.state import _commands
from lagooncrank.core.state import _records

#: Replicas that hold no instances and are kept for operators to see.
KEPT_ENDED_REPLICAS = 200

_Code = results.ResultCode


class Assignments:
    """Keeps every instance in at most one replica."""

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
        """Creates or changes a replica whose epoch is the expected one."""
        replica = command.replica
        current = self.replicas.get(replica.replica_id)
        refusal = (
            _refuse_epoch(command, current)
            or self._refuse_fencing(replica, current)
            or self._refuse_instances(replica)
        )
        if refusal is not None:
            return refusal
        self._replace(current, replica)
        self.last_fencing_number = max(
            self.last_fencing_number, replica.fencing_number
        )
        self._forget_ended()
        return _records.Outcome(_Code.OK, replica=replica)

    def holder(self, instance_id: model.InstanceId) -> model.Replica | None:
        """Returns the replica that holds an instance."""
        replica_id = self._holders.get(instance_id)
        return None if replica_id is None else self.replicas[replica_id]

    def _replace(
        self, current: model.Replica | None, replica: model.Replica
    ) -> None:
        if current is not None:
            # The replica moves to the end, so that ended ones are in order.
            del self.replicas[current.replica_id]
            if current.holds_instances:
                for instance_id in current.instances:
                    del self._holders[instance_id]
        self.replicas[replica.replica_id] = replica
        if replica.holds_instances:
            for instance_id in replica.instances:
                self._holders[instance_id] = replica.replica_id

    def _refuse_fencing(
        self, replica: model.Replica, current: model.Replica | None
    ) -> _records.Outcome | None:
        same = current and current.fencing_number == replica.fencing_number
        if same or replica.fencing_number > self.last_fencing_number:
            return None
        return _records.Outcome(
            _Code.STALE_FENCING_NUMBER,
            f"fencing number {replica.fencing_number} of replica "
            f"{replica.replica_id!r} must be over {self.last_fencing_number}",
            replica=current,
        )

    def _refuse_instances(
        self, replica: model.Replica
    ) -> _records.Outcome | None:
        if not replica.holds_instances:
            return None
        if len(set(replica.instances)) != len(replica.instances):
            return _records.Outcome(
                _Code.INSTANCE_TAKEN,
                f"replica {replica.replica_id!r} names an instance twice",
            )
        for instance_id in replica.instances:
            holder = self.holder(instance_id)
            if holder and holder.replica_id != replica.replica_id:
                return _records.Outcome(
                    _Code.INSTANCE_TAKEN,
                    f"instance {instance_id!r} is held by replica "
                    f"{holder.replica_id!r}",
                    replica=holder,
                )
        return None

    def _forget_ended(self) -> None:
        ended = [r for r in self.replicas.values() if not r.holds_instances]
        for replica in ended[:-KEPT_ENDED_REPLICAS]:
            del self.replicas[replica.replica_id]


def _refuse_epoch(
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
