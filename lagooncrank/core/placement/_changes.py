"""Collects the replica changes of one planning step."""

from collections.abc import Mapping
from collections.abc import Sequence

from lagooncrank import model
from lagooncrank.core import state
from lagooncrank.core.placement import _instances

_State = model.ReplicaState

#: Allowed next states of each state.
TRANSITIONS: dict[_State, frozenset[_State]] = {
    _State.FORMING: frozenset(
        {_State.FORMING, _State.LOADING, _State.DISSOLVED, _State.LOST}
    ),
    _State.LOADING: frozenset(
        {_State.FORMING, _State.SERVING, _State.DISSOLVED, _State.LOST}
    ),
    _State.SERVING: frozenset(
        {
            _State.FORMING,
            _State.LOADING,
            _State.DRAINING,
            _State.DISSOLVED,
            _State.LOST,
        }
    ),
    _State.DRAINING: frozenset(
        {_State.FORMING, _State.SERVING, _State.DISSOLVED, _State.LOST}
    ),
    _State.DISSOLVED: frozenset(),
    _State.LOST: frozenset(),
}

#: Base epoch in the command that creates a replica.
_NO_EPOCH = -1


class TransitionError(Exception):
    """A state transition that replicas do not allow."""

    def __init__(self, before: model.Replica, after: model.Replica) -> None:
        self.before = before
        self.after = after
        super().__init__(
            f"replica {before.replica_id!r} cannot change from {before.state} "
            f"to {after.state}; please report this as a bug"
        )


class Changes:
    """Builds `PutReplica` commands with new fencing numbers.

    Each replica is changed at most once in a step.

    Args:
        last_fencing_number: Highest number in the replicated state.
    """

    def __init__(self, last_fencing_number: int) -> None:
        self._last_fencing_number = last_fencing_number
        self._commands: list[state.PutReplica] = []
        self._changed: set[model.ReplicaId] = set()

    @property
    def commands(self) -> tuple[state.PutReplica, ...]:
        """Commands collected so far, in the order in which to propose them."""
        return tuple(self._commands)

    def claimed_instances(self) -> frozenset[model.InstanceId]:
        """Returns the instances assigned by the collected changes."""
        return frozenset(
            instance_id
            for command in self._commands
            if command.replica.holds_instances
            for instance_id in command.replica.instances
        )

    def has_changed(self, replica: model.Replica) -> bool:
        """Returns whether a change of the replica was already collected."""
        return replica.replica_id in self._changed

    def create(
        self,
        service: model.ModelService,
        instances: Sequence[_instances.Instance],
    ) -> model.Replica:
        """Creates a replica of `service` on instances of one fabric domain."""
        number = self._next_fencing_number()
        replica = model.Replica(
            replica_id=model.ReplicaId(f"{service.name}-{number}"),
            service=service.name,
            version=service.version,
            fabric_domain_id=instances[0].announcement.fabric_domain_id,
            instances=tuple(i.instance_id for i in instances),
            backend_servers=tuple(
                i.announcement.backend_server_id for i in instances
            ),
            fencing_number=number,
            role=service.role,
            adapters=service.adapters,
        )
        self._put(replica, _NO_EPOCH)
        return replica

    def set_state(
        self, replica: model.Replica, new_state: model.ReplicaState
    ) -> None:
        """Changes a replica's state but not its fencing number.

        Orders sent for the current assignment stay in effect.
        """
        self._change(replica.with_changes(state=new_state), replica)

    def terminate(
        self, replica: model.Replica, new_state: model.ReplicaState
    ) -> None:
        """Terminates a replica under a new fencing number.

        The unload orders thereby take precedence over earlier load orders.
        """
        terminated = replica.with_changes(
            state=new_state, fencing_number=self._next_fencing_number()
        )
        self._change(terminated, replica)

    def reassign(
        self,
        replica: model.Replica,
        service: model.ModelService,
        replacements: Mapping[int, _instances.Instance],
    ) -> None:
        """Forms a replica again under a new fencing number.

        Args:
            replica: The replica; members without a replacement are kept.
            service: Service with the declared version, role and adapters.
            replacements: New members by rank.
        """
        instances = list(replica.instances)
        servers = list(replica.backend_servers)
        for rank, instance in replacements.items():
            instances[rank] = instance.instance_id
            servers[rank] = instance.announcement.backend_server_id
        changed = replica.with_changes(
            instances=tuple(instances),
            backend_servers=tuple(servers),
            version=service.version,
            role=service.role,
            adapters=service.adapters,
            fencing_number=self._next_fencing_number(),
            state=model.ReplicaState.FORMING,
        )
        self._change(changed, replica)

    def _change(self, changed: model.Replica, before: model.Replica) -> None:
        if changed.state not in TRANSITIONS[before.state]:
            raise TransitionError(before, changed)
        after = changed.with_changes(epoch=before.epoch + 1)
        self._put(after, before.epoch)

    def _put(self, replica: model.Replica, base_epoch: int) -> None:
        self._changed.add(replica.replica_id)
        self._commands.append(state.PutReplica(replica, base_epoch))

    def _next_fencing_number(self) -> int:
        self._last_fencing_number += 1
        return self._last_fencing_number
