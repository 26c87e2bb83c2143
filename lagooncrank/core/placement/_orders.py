"""Derives the orders that the committed assignments require.

Orders depend on the replicated state and the announcements alone, so a new
leader continues where the previous one stopped.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from lagooncrank import model
from lagooncrank.core.placement import _fencing
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _instances
from lagooncrank.core.placement import _order_tracker
from lagooncrank.core.placement import _types

_State = model.ReplicaState


@dataclasses.dataclass(frozen=True, slots=True)
class MemberLoad:
    """A load of one replica member's weights."""

    instance: _instances.Instance
    replica: model.Replica
    service: model.ModelService
    rank: int
    #: Whether the engine has already started it.
    started: bool
    #: Bytes to load; 0 if the engine already holds this replica's weights.
    weight_bytes: int


class Orders:
    """Builds the orders that are due at one planning step.

    Args:
        fleet: Replicas and instances at this step.
        fence: Decides whether an order may be sent to an instance.
        tracker: Orders sent so far.
    """

    def __init__(
        self,
        fleet: _fleet.Fleet,
        fence: _fencing.Fence,
        tracker: _order_tracker.OrderTracker,
    ) -> None:
        self._fleet = fleet
        self._fence = fence
        self._tracker = tracker

    def loads(self) -> Iterator[MemberLoad]:
        """Yields every load required by a committed assignment."""
        for replica in self._fleet.active_replicas:
            service = self._fleet.services.get(replica.service)
            if service is None or replica.state is not _State.LOADING:
                continue
            yield from self._loads_of(replica, service)

    def load_orders(
        self, loads: Iterable[MemberLoad]
    ) -> Iterator[_types.OutgoingOrder]:
        """Yields the orders for those loads whose order is due."""
        for load in loads:
            if not _is_announced(load):
                yield from self._outgoing_if_due(
                    load.instance, self._load_order(load)
                )

    def unload_orders(self) -> Iterator[_types.OutgoingOrder]:
        """Yields orders to unload models that no assignment covers."""
        for instance in self._fleet.instances():
            loaded = instance.announcement.loaded
            if loaded is None or instance.lease_expired_ms is not None:
                continue
            owner = self._fleet.replica_by_instance.get(instance.instance_id)
            if owner is not None and self._may_keep(instance, owner):
                continue
            order = self._unload_order(instance, loaded)
            number = order.fencing_number
            if self._fence.may_unload(instance, number, self._fleet.now_ms):
                yield from self._outgoing_if_due(instance, order)

    def _may_keep(
        self, instance: _instances.Instance, owner: model.Replica
    ) -> bool:
        if _fleet.loaded_model_for(instance, owner) or not instance.is_ready:
            return True
        return not self._fence.must_unload(instance, owner)

    def _loads_of(
        self, replica: model.Replica, service: model.ModelService
    ) -> Iterator[MemberLoad]:
        members = self._fleet.members(replica)
        for rank in self._fleet.unloaded_ranks(replica):
            instance = members[rank]
            if instance is None or not instance.is_ready:
                continue
            loaded = _fleet.loaded_model_for(instance, replica)
            started = loaded is not None
            if not started:
                if not self._fence.may_load(
                    instance, replica, self._fleet.now_ms
                ):
                    continue
                started = self._is_accepted(instance, replica)
            weight_bytes = _bytes_to_load(instance, replica, service)
            yield MemberLoad(
                instance, replica, service, rank, started, weight_bytes
            )

    def _is_accepted(
        self, instance: _instances.Instance, replica: model.Replica
    ) -> bool:
        return self._tracker.is_accepted(
            instance.instance_id, self._load_order_id(instance, replica)
        )

    def _load_order_id(
        self, instance: _instances.Instance, replica: model.Replica
    ) -> str:
        number = replica.fencing_number
        return self._order_id(instance, _types.OrderKind.LOAD, number)

    def _load_order(self, load: MemberLoad) -> _types.Order:
        replica = load.replica
        return _types.Order(
            order_id=self._load_order_id(load.instance, replica),
            kind=_types.OrderKind.LOAD,
            replica_id=replica.replica_id,
            service=replica.service,
            version=replica.version,
            fencing_number=replica.fencing_number,
            members=tuple(
                "" if m is None else m.announcement.address
                for m in self._fleet.members(replica)
            ),
            rank=load.rank,
            adapters=replica.adapters,
            role=replica.role,
            weight_bytes=load.service.weight_bytes_per_instance,
        )

    def _unload_order(
        self, instance: _instances.Instance, loaded: model.LoadedModel
    ) -> _types.Order:
        number = self._unload_number(loaded)
        kind = _types.OrderKind.UNLOAD
        return _types.Order(
            order_id=self._order_id(instance, kind, number),
            kind=kind,
            replica_id=loaded.replica_id,
            service=loaded.service,
            version=loaded.version,
            fencing_number=number,
        )

    def _unload_number(self, loaded: model.LoadedModel) -> int:
        replica = self._fleet.replicas.get(loaded.replica_id)
        known = 0 if replica is None else replica.fencing_number
        return max(known, loaded.fencing_number)

    def _order_id(
        self,
        instance: _instances.Instance,
        kind: _types.OrderKind,
        number: int,
    ) -> str:
        incarnation = instance.announcement.incarnation
        purpose = f"{instance.instance_id}/{incarnation}/{number}/{kind}"
        return f"{purpose}/{self._tracker.attempts(purpose)}"

    def _outgoing_if_due(
        self, instance: _instances.Instance, order: _types.Order
    ) -> Iterator[_types.OutgoingOrder]:
        """Yields the order with its address, unless it was sent recently."""
        instance_id = instance.instance_id
        if self._tracker.is_due(
            instance_id, order.order_id, self._fleet.now_ms
        ):
            address = instance.announcement.address
            yield _types.OutgoingOrder(instance_id, address, order)


def _is_announced(load: MemberLoad) -> bool:
    return _fleet.loaded_model_for(load.instance, load.replica) is not None


def _bytes_to_load(
    instance: _instances.Instance,
    replica: model.Replica,
    service: model.ModelService,
) -> int:
    loaded = instance.announcement.loaded
    if loaded is None or not loaded.ready:
        return service.weight_bytes_per_instance
    loaded_weights = (loaded.replica_id, loaded.version)
    if loaded_weights == (replica.replica_id, replica.version):
        return 0
    return service.weight_bytes_per_instance
