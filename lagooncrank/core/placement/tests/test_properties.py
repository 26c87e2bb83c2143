from collections.abc import Callable

import hypothesis
from hypothesis import strategies
import pytest

from lagooncrank import model
from lagooncrank.core import placement
from lagooncrank.core.placement import _fencing
from lagooncrank.core.placement import _instances
from lagooncrank.core.placement.tests import _invariants
from lagooncrank.core.placement.tests import _world
from standins import fleet as fleets

#: Name of a failure, whom it strikes, and the steps that follow it.
Action = tuple[str, int, int]

#: Steps after which a healed fleet serves everything again.
HEALED_STEPS = 400

FAILURES: dict[str, Callable[[_world.World, int], None]] = {
    "stop": lambda w, i: _engine(w, i).stop(),
    "start": lambda w, i: _engine(w, i).start(),
    "pause": lambda w, i: _set_paused(w, i, True),
    "resume": lambda w, i: _set_paused(w, i, False),
    "leave": lambda w, i: _engine(w, i).set_state(
        model.BackendServerState.LEAVING
    ),
    "domain_dark": lambda w, i: _set_domain_paused(w, i, True),
    "domain_back": lambda w, i: _set_domain_paused(w, i, False),
    "change_leader": lambda w, i: w.change_leader(cut_off=False),
    "cut_off_leader": lambda w, i: w.change_leader(cut_off=True),
    "delay_orders": lambda w, i: _set_delay(w, i),
    "lose_answers": lambda w, i: _set_answers_lost(w, i),
    "drain": lambda w, i: _drain(w, i),
    "end_drains": lambda w, i: w.end_drains(),
    "new_version": lambda w, i: w.declare_version(f"v{i}"),
    "calm": lambda w, i: None,
}


def actions_of(*names: str) -> strategies.SearchStrategy[list[Action]]:
    """Returns a strategy for runs with the named failures."""
    return strategies.lists(
        strategies.tuples(
            strategies.sampled_from(names),
            strategies.integers(0, 10),
            strategies.integers(1, 8),
        ),
        max_size=25,
    )


def _engine(world: _world.World, index: int) -> fleets.Engine:
    return world.fleet.engines[index % len(world.fleet.engines)]


def _set_paused(world: _world.World, index: int, paused: bool) -> None:
    _engine(world, index).is_paused = paused


def _set_domain_paused(world: _world.World, index: int, paused: bool) -> None:
    domain = _engine(world, index).domain
    for engine in world.fleet.engines:
        if engine.domain == domain:
            engine.is_paused = paused


def _set_delay(world: _world.World, index: int) -> None:
    world.delay_ms = index * _world.MAX_ORDER_MS // 11


def _drain(world: _world.World, index: int) -> None:
    world.drained |= {_engine(world, index).instance_id}


def _set_answers_lost(world: _world.World, index: int) -> None:
    world.answers_lost = bool(index % 2)


def run(world: _world.World, actions: list[Action]) -> None:
    for name, argument, steps in actions:
        FAILURES[name](world, argument)
        for _ in range(steps):
            world.step()
            _invariants.check(world)


@pytest.mark.parametrize("policy", placement.POLICIES.names())
@hypothesis.settings(max_examples=60)
@hypothesis.given(actions=actions_of(*FAILURES))
def test_invariants_hold_and_a_healed_fleet_serves_again(
    policy: str, actions: list[Action]
) -> None:
    world = _world.World(policy)
    run(world, actions)
    world.heal()
    for _ in range(HEALED_STEPS):
        world.step()
        _invariants.check(world)
    for service in world.declarations.model_services:
        assert world.serving_count(service) == service.replicas
        served = [r for r in world.served() if r.service == service.name]
        assert {r.version for r in served} == {service.version}


def _only_own_orders(
    fence: _fencing.Fence,
    instance: _instances.Instance,
    kind: placement.OrderKind,
    fencing_number: int,
    now_ms: int,
) -> bool:
    own_ms = fence._orders.quiet_from_ms(
        instance.instance_id, kind, fencing_number
    )
    return own_ms <= min(now_ms, instance.member.last_seen_ms)


#: Faulty guards, each of which lets an old order through.
MUTANTS: dict[str, Callable[..., bool]] = {
    "no_quiet_period": lambda *_: True,
    "only_own_orders": _only_own_orders,
}


@pytest.mark.parametrize("mutant", sorted(MUTANTS))
def test_skipped_fencing_guard_is_caught(
    monkeypatch: pytest.MonkeyPatch, mutant: str
) -> None:
    monkeypatch.setattr(_fencing.Fence, "_is_quiet", MUTANTS[mutant])
    names = ("delay_orders", "pause", "resume", "cut_off_leader")

    @hypothesis.settings(max_examples=1_000, phases=[hypothesis.Phase.generate])
    @hypothesis.given(actions=actions_of(*names))
    def search(actions: list[Action]) -> None:
        run(_world.World("first_fit", (False,), domains=(4,)), actions)

    with pytest.raises(AssertionError, match="obeyed after"):
        search()
