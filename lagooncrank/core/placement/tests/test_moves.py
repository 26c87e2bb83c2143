import dataclasses
from typing import Any

import pytest

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.placement.tests import _invariants
from lagooncrank.core.placement.tests import _world

FORMED_STEPS = 60
MOVED_STEPS = 200


def formed(
    domains: tuple[int, ...], checks: bool = True, **changes: Any
) -> _world.World:
    """Returns a world whose only service serves as declared."""
    world = _world.World("weighted", (checks,), domains=domains)
    declare(world, **changes)
    for _ in range(FORMED_STEPS):
        world.step()
    return world


def declare(world: _world.World, **changes: Any) -> None:
    service = dataclasses.replace(_world.DRAFTS, **changes)
    world.declarations = world.declarations.with_changes(
        model_services=(service,)
    )


def least_serving(world: _world.World, steps: int = MOVED_STEPS) -> int:
    least = world.serving_count(_world.DRAFTS)
    for _ in range(steps):
        world.step()
        _invariants.check(world)
        least = min(least, world.serving_count(_world.DRAFTS))
    return least


@pytest.mark.parametrize("checks", [True, False], ids=["checks", "ignores"])
@pytest.mark.parametrize(
    "change",
    [
        pytest.param({"version": "v2"}, id="version"),
        pytest.param({"role": "decode"}, id="role"),
        pytest.param({"adapters": ("a1",)}, id="adapters"),
    ],
)
def test_rolling_change_keeps_the_floor(
    change: dict[str, Any], checks: bool
) -> None:
    world = formed((6,), checks)
    declare(world, **change)
    assert least_serving(world) == _world.DRAFTS.replicas_floor
    held = [r for r in world.machine.replicas.values() if r.holds_instances]
    assert len(held) == 2
    for replica in held:
        (service,) = world.declarations.model_services
        assert replica.version == service.version
        assert replica.role == service.role
        assert replica.adapters == service.adapters


def test_rolling_change_with_room_loses_no_replica() -> None:
    world = formed((9,))
    declare(world, version="v2")
    assert least_serving(world) == 2
    served = world.served()
    assert {r.version for r in served} == {"v2"}
    assert len(served) == 2


def test_rolling_change_without_slack_or_room_waits() -> None:
    world = formed((6,), replicas_floor=2)
    declare(world, version="v2", replicas_floor=2)
    assert least_serving(world) == 2
    assert {r.version for r in world.served()} == {"v1"}
    (refusal,) = world.refusals
    assert refusal.code is results.ResultCode.BELOW_FLOOR


def test_drained_instance_leaves_its_replica_for_a_spare() -> None:
    world = formed((7,))
    drained = world.served()[0].instances[1]
    world.drained = frozenset({drained})
    assert least_serving(world) == 1
    assert world.serving_count(_world.DRAFTS) == 2
    assert all(drained not in r.instances for r in world.served())
    assert world.fleet.by_id[drained].desk.loaded is None


def test_replica_with_requests_is_drained_before_it_changes() -> None:
    world = formed((6,))
    busy = world.served()
    for replica in busy:
        first = world.fleet.by_id[replica.instances[0]]
        first.set_load(model.LoadReport(running=1))
    declare(world, version="v2")
    least_serving(world)
    states = {r.replica_id: r for r in world.machine.replicas.values()}
    after = [states[r.replica_id] for r in busy]
    assert {r.version for r in after} == {"v1"}
    assert {r.state for r in after} == {
        model.ReplicaState.SERVING,
        model.ReplicaState.DRAINING,
    }


def test_fewer_replicas_are_dissolved_one_by_one() -> None:
    world = formed((9,), replicas=3)
    declare(world, replicas=1)
    assert least_serving(world) == 1
    held = [r for r in world.machine.replicas.values() if r.holds_instances]
    assert len(held) == 1
    idle = [e for e in world.fleet.engines if e.desk.loaded is None]
    assert len(idle) == 6


def test_removed_service_frees_its_instances() -> None:
    world = formed((6,))
    world.declarations = world.declarations.with_changes(model_services=())
    least_serving(world)
    assert all(e.desk.loaded is None for e in world.fleet.engines)
