"""Invariants that hold after every step of a simulation."""

from collections.abc import Iterable
import itertools

from lagooncrank import model
from lagooncrank.core import placement
from lagooncrank.core.placement.tests import _simulation


def check(cluster: _simulation.SimulatedCluster) -> None:
    """Raises AssertionError if an invariant is violated."""
    active_replicas = [
        r for r in cluster.machine.replicas.values() if r.holds_instances
    ]
    _check_disjoint(active_replicas)
    serving_replicas = cluster.serving_replicas()
    _check_disjoint(set(serving_replicas))
    for replica in serving_replicas:
        _check_members_loaded(replica, cluster)
    for engine in cluster.fleet.engines:
        _check_order_sequence(engine.order_executor.executed)


def _check_disjoint(replicas: Iterable[model.Replica]) -> None:
    assignments: dict[model.InstanceId, tuple[str, int]] = {}
    for replica in replicas:
        assignment = (replica.replica_id, replica.fencing_number)
        for instance_id in replica.instances:
            first = assignments.setdefault(instance_id, assignment)
            assert first == assignment, f"{instance_id} is in two replicas"


def _check_members_loaded(
    replica: model.Replica, cluster: _simulation.SimulatedCluster
) -> None:
    for instance_id in replica.instances:
        engine = cluster.fleet.by_id[instance_id]
        if not engine.is_announcing:
            continue
        loaded = engine.order_executor.loaded
        assert loaded is not None, f"{instance_id} has no model loaded"
        assert loaded.ready, f"{instance_id} is still loading"
        assert loaded.replica_id == replica.replica_id
        assert loaded.fencing_number == replica.fencing_number


def _check_order_sequence(executed: list[placement.Order]) -> None:
    for earlier, later in itertools.pairwise(executed):
        assert earlier.fencing_number <= later.fencing_number, (
            f"order {later.order_id} executed after {earlier.order_id}"
        )
        if earlier.fencing_number == later.fencing_number:
            assert (earlier.kind, later.kind) != (
                placement.OrderKind.LOAD,
                placement.OrderKind.UNLOAD,
            ), f"order {later.order_id} reverted {earlier.order_id}"
