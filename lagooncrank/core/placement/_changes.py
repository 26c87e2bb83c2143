"""Collects the changes of one step, each on top of the ones before."""

from collections.abc import Mapping
from collections.abc import Sequence

from lagooncrank import model
from lagooncrank.core import state
from lagooncrank.core.placement import _instances

_State = model.ReplicaState

#: States that may follow each state.
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

#: Epoch that a command names when its replica does not exist yet.
_NO_EPOCH = -1


class TransitionError(Exception):
    """A change that the life cycle of replicas does not have."""

    def __init__(self, before: model.Replica, after: model.Replica) -> None:
        self.before = before
        self.after = after
        super().__init__(
            f"replica {before.replica_id!r} cannot go from {before.state} "
            f"to {after.state}; report this fault"
        )


class Changes:
    """Builds `PutReplica` commands with fresh fencing numbers.

    Each replica is changed at most once in a step.

    Args:
        last_fencing_number: Highest number of the replicated state.
    """

    def __init__(self, last_fencing_number: int) -> None:
        self._last_fencing_number = last_fencing_number
        self._commands: list[state.PutReplica] = []
        self._changed: set[model.ReplicaId] = set()

    @property
    def commands(self) -> tuple[state.PutReplica, ...]:
        """Commands collected so far, in the order to propose them."""
        return tuple(self._commands)

    def claimed_instances(self) -> frozenset[model.InstanceId]:
        """Returns the instances that a changed replica is to hold."""
        return frozenset(
            instance_id
            for command in self._commands
            if command.replica.holds_instances
            for instance_id in command.replica.instances
        )

    def has_changed(self, replica: model.Replica) -> bool:
        """Returns whether this step already changes a replica."""
        return replica.replica_id in self._changed

    def create(
        self,
        service: model.ModelService,
        instances: Sequence[_instances.Instance],
    ) -> model.Replica:
        """Forms a new replica of `service` on instances of one domain."""
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
        self, replica: model.Replica, state_: model.ReplicaState
    ) -> None:
        """Moves a replica on in its life cycle, under the same orders."""
        self._change(replica.with_changes(state=state_), replica)

    def end(self, replica: model.Replica, state_: model.ReplicaState) -> None:
        """Ends a replica; its unload orders overrule its load orders."""
        ended = replica.with_changes(
            state=state_, fencing_number=self._next_fencing_number()
        )
        self._change(ended, replica)

    def reassign(
        self,
        replica: model.Replica,
        service: model.ModelService,
        replacements: Mapping[int, _instances.Instance],
    ) -> None:
        """Forms a replica anew under a new number, as declared now.

        Args:
            replica: The replica; members without a replacement stay.
            service: The declared version, role and adapters.
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
