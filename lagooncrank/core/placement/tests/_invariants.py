"""What must hold after every step of any run."""

from collections.abc import Iterable
import itertools

from lagooncrank import model
from lagooncrank.core import placement
from lagooncrank.core.placement.tests import _world


def check(world: _world.World) -> None:
    """Raises AssertionError where an invariant is broken."""
    held = [r for r in world.machine.replicas.values() if r.holds_instances]
    _check_disjoint(held)
    served = world.served()
    _check_disjoint(set(served))
    for replica in served:
        _check_whole(replica, world)
    for engine in world.fleet.engines:
        _check_orders(engine.desk.obeyed)


def _check_disjoint(replicas: Iterable[model.Replica]) -> None:
    replica_by_instance: dict[model.InstanceId, tuple[str, int]] = {}
    for replica in replicas:
        assignment = (replica.replica_id, replica.fencing_number)
        for instance_id in replica.instances:
            holder = replica_by_instance.setdefault(instance_id, assignment)
            assert holder == assignment, f"{instance_id} is in two replicas"


def _check_whole(replica: model.Replica, world: _world.World) -> None:
    for instance_id in replica.instances:
        engine = world.fleet.by_id[instance_id]
        if not engine.speaks:
            continue
        loaded = engine.desk.loaded
        assert loaded is not None, f"{instance_id} holds nothing"
        assert loaded.ready, f"{instance_id} is still loading"
        assert loaded.replica_id == replica.replica_id
        assert loaded.fencing_number == replica.fencing_number


def _check_orders(obeyed: list[placement.Order]) -> None:
    for earlier, later in itertools.pairwise(obeyed):
        assert earlier.fencing_number <= later.fencing_number, (
            f"order {later.order_id} obeyed after {earlier.order_id}"
        )
        if earlier.fencing_number == later.fencing_number:
            assert (earlier.kind, later.kind) != (
                placement.OrderKind.LOAD,
                placement.OrderKind.UNLOAD,
            ), f"{later.order_id} undid {earlier.order_id}"
