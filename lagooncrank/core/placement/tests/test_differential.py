import random

from lagooncrank.core.placement.tests import _invariants
from lagooncrank.core.placement.tests import _world

SEEDS = range(12)
FORMED_STEPS = 80
ROUNDS = 12


def missing_replica_steps(policy: str, seed: int) -> int:
    """Returns how long replicas were missing over one generated run."""
    rng = random.Random(seed)
    world = _world.World(policy)
    for _ in range(FORMED_STEPS):
        world.step()
    missing = 0
    for _ in range(ROUNDS):
        engine = world.fleet.engines[rng.randrange(9)]
        engine.is_paused = True
        away_steps = rng.randrange(4, 40)
        for step in range(rng.randrange(away_steps, 100)):
            if step == away_steps:
                engine.is_paused = False
                if rng.random() < 0.5:
                    engine.start()
            world.step()
            _invariants.check(world)
            missing += _missing(world)
        engine.is_paused = False
    return missing


def _missing(world: _world.World) -> int:
    return sum(
        max(0, s.replicas - world.serving_count(s))
        for s in world.declarations.model_services
    )


def test_weighted_misses_replicas_no_longer_than_first_fit() -> None:
    ours = sum(missing_replica_steps("weighted", s) for s in SEEDS)
    naive = sum(missing_replica_steps("first_fit", s) for s in SEEDS)
    assert ours <= naive
