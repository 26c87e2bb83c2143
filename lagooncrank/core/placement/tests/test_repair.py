import dataclasses

import pytest

from lagooncrank import model
from lagooncrank.core.placement.tests import _invariants
from lagooncrank.core.placement.tests import _simulation
from standins import fleet as fleets

FORMED_STEPS = 60


def serving_cluster(
    domains: tuple[int, ...], replicas: int, checks_fencing: bool = True
) -> _simulation.SimulatedCluster:
    cluster = _simulation.SimulatedCluster(
        "weighted", (checks_fencing,), domains=domains
    )
    service = dataclasses.replace(_simulation.DRAFTS, replicas=replicas)
    cluster.declarations = cluster.declarations.with_changes(
        model_services=(service,)
    )
    run_steps(cluster, FORMED_STEPS)
    assert cluster.serving_count(service) == replicas
    return cluster


def run_steps(cluster: _simulation.SimulatedCluster, steps: int) -> None:
    for _ in range(steps):
        cluster.step()
        _invariants.check(cluster)


def member(
    cluster: _simulation.SimulatedCluster, rank: int, replica: int = 0
) -> fleets.Engine:
    active_replicas = [
        r for r in cluster.machine.replicas.values() if r.holds_instances
    ]
    active_replicas.sort(key=lambda r: r.replica_id)
    return cluster.fleet.by_id[active_replicas[replica].instances[rank]]


def replicas_with(
    cluster: _simulation.SimulatedCluster, engine: fleets.Engine
) -> list[str]:
    return [
        r.replica_id
        for r in cluster.machine.replicas.values()
        if r.holds_instances and engine.instance_id in r.instances
    ]


def test_short_pause_changes_nothing() -> None:
    cluster = serving_cluster((4,), replicas=1)
    before = dict(cluster.machine.replicas)
    member(cluster, 1).is_paused = True
    run_steps(cluster, 6)
    member(cluster, 1).is_paused = False
    run_steps(cluster, 4)
    assert cluster.machine.replicas == before
    assert cluster.serving_count(_simulation.DRAFTS) == 1


@pytest.mark.parametrize(
    "checks_fencing", [True, False], ids=["checks", "ignores"]
)
def test_stopped_member_is_replaced_by_a_spare(checks_fencing: bool) -> None:
    cluster = serving_cluster((4,), 1, checks_fencing)
    stopped = member(cluster, 1)
    stopped.stop()
    run_steps(cluster, 100)
    assert replicas_with(cluster, stopped) == []
    assert cluster.serving_count(_simulation.DRAFTS) == 1


def test_survivors_of_a_repair_keep_their_weights() -> None:
    cluster = serving_cluster((4,), replicas=1)
    survivor = member(cluster, 0)
    member(cluster, 1).stop()
    while not survivor.order_executor.executed[1:]:
        cluster.step()
    assert survivor.order_executor.loaded is not None
    assert survivor.order_executor.loaded.ready


def test_returning_member_is_reinstated_before_its_spare_has_loaded() -> None:
    cluster = serving_cluster((4,), replicas=1)
    paused = member(cluster, 1)
    paused.is_paused = True
    while replicas_with(cluster, paused):
        cluster.step()
    paused.is_paused = False
    run_steps(cluster, 2)
    assert replicas_with(cluster, paused)
    run_steps(cluster, 4)
    assert cluster.serving_count(_simulation.DRAFTS) == 1


def test_replica_without_a_spare_is_formed_in_another_domain() -> None:
    cluster = serving_cluster((3, 3), replicas=1)
    stopped = member(cluster, 1)
    stopped.stop()
    run_steps(cluster, 60)
    assert cluster.serving_count(_simulation.DRAFTS) == 1
    (replica,) = cluster.serving_replicas()
    assert replica.fabric_domain_id != stopped.domain


def test_low_priority_replica_donates_its_members() -> None:
    cluster = serving_cluster((6,), replicas=2)
    stopped = member(cluster, 1), member(cluster, 1, replica=1)
    for engine in stopped:
        engine.stop()
    run_steps(cluster, 60)
    assert cluster.serving_count(_simulation.DRAFTS) == 1


def test_paused_domain_serves_again_without_a_load() -> None:
    cluster = serving_cluster((6,), replicas=2)
    for engine in cluster.fleet.engines:
        engine.is_paused = True
    run_steps(cluster, 100)
    for engine in cluster.fleet.engines:
        engine.is_paused = False
    run_steps(cluster, 2)
    assert cluster.serving_count(_simulation.DRAFTS) == 2
    assert all(
        len(e.order_executor.executed) == 1 for e in cluster.fleet.engines
    )


def test_flapping_instance_is_not_assigned_during_its_hold_down() -> None:
    cluster = serving_cluster((4,), replicas=1)
    rules = dataclasses.replace(_simulation.RULES, hold_down_ms=20_000)
    cluster.declarations = cluster.declarations.with_changes(placement=rules)
    spare = next(
        e for e in cluster.fleet.engines if not replicas_with(cluster, e)
    )
    for _ in range(2):
        spare.is_paused = True
        run_steps(cluster, 6)
        spare.is_paused = False
        run_steps(cluster, 1)
    member(cluster, 1).stop()
    run_steps(cluster, 8)
    assert replicas_with(cluster, spare) == []
    run_steps(cluster, 60)
    assert replicas_with(cluster, spare)
    assert cluster.serving_count(_simulation.DRAFTS) == 1


def test_first_load_goes_to_the_replica_closest_to_serving() -> None:
    cluster = serving_cluster((7,), replicas=2)
    store = model.WeightStoreRules(concurrent_loads=1)
    cluster.declarations = cluster.declarations.with_changes(weight_store=store)
    more_damaged = [member(cluster, rank) for rank in (0, 1)]
    less_damaged = member(cluster, 2, replica=1)
    for engine in (*more_damaged, less_damaged):
        engine.stop()
        engine.start()
    while not any(
        e.order_executor.executed for e in (*more_damaged, less_damaged)
    ):
        cluster.step()
    assert less_damaged.order_executor.executed
    assert not any(e.order_executor.executed for e in more_damaged)


def test_instance_with_a_new_server_is_reassigned() -> None:
    cluster = serving_cluster((3,), replicas=1)
    engine = member(cluster, 1)
    engine.stop()
    engine.rename_server("b-new")
    engine.start()
    run_steps(cluster, 40)
    assert cluster.serving_count(_simulation.DRAFTS) == 1
