import dataclasses
from typing import Any

import pytest

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.placement.tests import _invariants
from lagooncrank.core.placement.tests import _simulation

FORMED_STEPS = 60
CHANGE_STEPS = 200


def serving_cluster(
    domains: tuple[int, ...], checks_fencing: bool = True, **changes: Any
) -> _simulation.SimulatedCluster:
    """Returns a cluster whose only service is serving as declared."""
    cluster = _simulation.SimulatedCluster(
        "weighted", (checks_fencing,), domains=domains
    )
    declare(cluster, **changes)
    for _ in range(FORMED_STEPS):
        cluster.step()
    return cluster


def declare(cluster: _simulation.SimulatedCluster, **changes: Any) -> None:
    service = dataclasses.replace(_simulation.DRAFTS, **changes)
    cluster.declarations = cluster.declarations.with_changes(
        model_services=(service,)
    )


def min_serving(
    cluster: _simulation.SimulatedCluster, steps: int = CHANGE_STEPS
) -> int:
    """Returns the lowest number of serving replicas over some steps."""
    minimum = cluster.serving_count(_simulation.DRAFTS)
    for _ in range(steps):
        cluster.step()
        _invariants.check(cluster)
        minimum = min(minimum, cluster.serving_count(_simulation.DRAFTS))
    return minimum


@pytest.mark.parametrize(
    "checks_fencing", [True, False], ids=["checks", "ignores"]
)
@pytest.mark.parametrize(
    "change",
    [
        pytest.param({"version": "v2"}, id="version"),
        pytest.param({"role": "decode"}, id="role"),
        pytest.param({"adapters": ("a1",)}, id="adapters"),
    ],
)
def test_rolling_change_keeps_the_floor(
    change: dict[str, Any], checks_fencing: bool
) -> None:
    cluster = serving_cluster((6,), checks_fencing)
    declare(cluster, **change)
    assert min_serving(cluster) == _simulation.DRAFTS.replicas_floor
    active_replicas = [
        r for r in cluster.machine.replicas.values() if r.holds_instances
    ]
    assert len(active_replicas) == 2
    for replica in active_replicas:
        (service,) = cluster.declarations.model_services
        assert replica.version == service.version
        assert replica.role == service.role
        assert replica.adapters == service.adapters


def test_rolling_change_with_free_instances_loses_no_replica() -> None:
    cluster = serving_cluster((9,))
    declare(cluster, version="v2")
    assert min_serving(cluster) == 2
    serving_replicas = cluster.serving_replicas()
    assert {r.version for r in serving_replicas} == {"v2"}
    assert len(serving_replicas) == 2


def test_rolling_change_without_spare_capacity_is_refused() -> None:
    cluster = serving_cluster((6,), replicas_floor=2)
    declare(cluster, version="v2", replicas_floor=2)
    assert min_serving(cluster) == 2
    assert {r.version for r in cluster.serving_replicas()} == {"v1"}
    (refusal,) = cluster.refusals
    assert refusal.code is results.ResultCode.BELOW_FLOOR


def test_drained_instance_is_replaced_by_a_spare() -> None:
    cluster = serving_cluster((7,))
    drained = cluster.serving_replicas()[0].instances[1]
    cluster.drained = frozenset({drained})
    assert min_serving(cluster) == 1
    assert cluster.serving_count(_simulation.DRAFTS) == 2
    assert all(drained not in r.instances for r in cluster.serving_replicas())
    assert cluster.fleet.by_id[drained].order_executor.loaded is None


def test_replica_with_requests_is_drained_before_it_changes() -> None:
    cluster = serving_cluster((6,))
    busy = cluster.serving_replicas()
    for replica in busy:
        first = cluster.fleet.by_id[replica.instances[0]]
        first.set_load(model.LoadReport(running=1))
    declare(cluster, version="v2")
    min_serving(cluster)
    states = {r.replica_id: r for r in cluster.machine.replicas.values()}
    after = [states[r.replica_id] for r in busy]
    assert {r.version for r in after} == {"v1"}
    assert {r.state for r in after} == {
        model.ReplicaState.SERVING,
        model.ReplicaState.DRAINING,
    }


def test_surplus_replicas_are_dissolved_one_at_a_time() -> None:
    cluster = serving_cluster((9,), replicas=3)
    declare(cluster, replicas=1)
    assert min_serving(cluster) == 1
    active_replicas = [
        r for r in cluster.machine.replicas.values() if r.holds_instances
    ]
    assert len(active_replicas) == 1
    idle = [e for e in cluster.fleet.engines if e.order_executor.loaded is None]
    assert len(idle) == 6


def test_removed_service_frees_its_instances() -> None:
    cluster = serving_cluster((6,))
    cluster.declarations = cluster.declarations.with_changes(model_services=())
    min_serving(cluster)
    assert all(e.order_executor.loaded is None for e in cluster.fleet.engines)
