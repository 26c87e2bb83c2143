import dataclasses

import pytest

from lagooncrank import model
from lagooncrank.core.placement.tests import _invariants
from lagooncrank.core.placement.tests import _world
from standins import fleet as fleets

FORMED_STEPS = 60


def formed(
    domains: tuple[int, ...], replicas: int, checks: bool = True
) -> _world.World:
    world = _world.World("weighted", (checks,), domains=domains)
    service = dataclasses.replace(_world.DRAFTS, replicas=replicas)
    world.declarations = world.declarations.with_changes(
        model_services=(service,)
    )
    run(world, FORMED_STEPS)
    assert world.serving_count(service) == replicas
    return world


def run(world: _world.World, steps: int) -> None:
    for _ in range(steps):
        world.step()
        _invariants.check(world)


def member(world: _world.World, rank: int, replica: int = 0) -> fleets.Engine:
    held = [r for r in world.machine.replicas.values() if r.holds_instances]
    held.sort(key=lambda r: r.replica_id)
    return world.fleet.by_id[held[replica].instances[rank]]


def replica_by_instance(
    world: _world.World, engine: fleets.Engine
) -> list[str]:
    return [
        r.replica_id
        for r in world.machine.replicas.values()
        if r.holds_instances and engine.instance_id in r.instances
    ]


def test_short_pause_changes_nothing() -> None:
    world = formed((4,), replicas=1)
    before = dict(world.machine.replicas)
    member(world, 1).is_paused = True
    run(world, 6)
    member(world, 1).is_paused = False
    run(world, 4)
    assert world.machine.replicas == before
    assert world.serving_count(_world.DRAFTS) == 1


@pytest.mark.parametrize("checks", [True, False], ids=["checks", "ignores"])
def test_dead_member_gives_its_place_to_a_spare(checks: bool) -> None:
    world = formed((4,), 1, checks)
    dead = member(world, 1)
    dead.stop()
    run(world, 100)
    assert replica_by_instance(world, dead) == []
    assert world.serving_count(_world.DRAFTS) == 1


def test_survivors_of_a_repair_keep_their_weights() -> None:
    world = formed((4,), replicas=1)
    survivor = member(world, 0)
    member(world, 1).stop()
    while not survivor.desk.obeyed[1:]:
        world.step()
    assert survivor.desk.loaded is not None
    assert survivor.desk.loaded.ready


def test_paused_member_takes_its_place_again_before_its_spare_loaded() -> None:
    world = formed((4,), replicas=1)
    paused = member(world, 1)
    paused.is_paused = True
    while replica_by_instance(world, paused):
        world.step()
    paused.is_paused = False
    run(world, 2)
    assert replica_by_instance(world, paused)
    run(world, 4)
    assert world.serving_count(_world.DRAFTS) == 1


def test_replica_without_a_spare_is_formed_in_another_domain() -> None:
    world = formed((3, 3), replicas=1)
    dead = member(world, 1)
    dead.stop()
    run(world, 60)
    assert world.serving_count(_world.DRAFTS) == 1
    (served,) = world.served()
    assert served.fabric_domain_id != dead.domain


def test_worst_broken_replica_gives_its_members_to_another() -> None:
    world = formed((6,), replicas=2)
    dead = member(world, 1), member(world, 1, replica=1)
    for engine in dead:
        engine.stop()
    run(world, 60)
    assert world.serving_count(_world.DRAFTS) == 1


def test_dark_domain_serves_again_without_a_load() -> None:
    world = formed((6,), replicas=2)
    for engine in world.fleet.engines:
        engine.is_paused = True
    run(world, 100)
    for engine in world.fleet.engines:
        engine.is_paused = False
    run(world, 2)
    assert world.serving_count(_world.DRAFTS) == 2
    assert all(len(e.desk.obeyed) == 1 for e in world.fleet.engines)


def test_flapping_instance_is_not_taken_until_it_is_trusted() -> None:
    world = formed((4,), replicas=1)
    rules = dataclasses.replace(_world.RULES, hold_down_ms=20_000)
    world.declarations = world.declarations.with_changes(placement=rules)
    spare = next(
        e for e in world.fleet.engines if not replica_by_instance(world, e)
    )
    for _ in range(2):
        spare.is_paused = True
        run(world, 6)
        spare.is_paused = False
        run(world, 1)
    member(world, 1).stop()
    run(world, 8)
    assert replica_by_instance(world, spare) == []
    run(world, 60)
    assert replica_by_instance(world, spare)
    assert world.serving_count(_world.DRAFTS) == 1


def test_first_load_goes_to_the_replica_nearest_to_serving() -> None:
    world = formed((7,), replicas=2)
    store = model.WeightStoreRules(concurrent_loads=1)
    world.declarations = world.declarations.with_changes(weight_store=store)
    hurt_most = [member(world, rank) for rank in (0, 1)]
    hurt_least = member(world, 2, replica=1)
    for engine in (*hurt_most, hurt_least):
        engine.stop()
        engine.start()
    while not any(e.desk.obeyed for e in (*hurt_most, hurt_least)):
        world.step()
    assert hurt_least.desk.obeyed
    assert not any(e.desk.obeyed for e in hurt_most)


def test_instance_with_another_server_is_assigned_again() -> None:
    world = formed((3,), replicas=1)
    engine = member(world, 1)
    engine.stop()
    engine.rename_server("b-new")
    engine.start()
    run(world, 40)
    assert world.serving_count(_world.DRAFTS) == 1
