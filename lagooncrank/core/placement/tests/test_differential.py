import random

from lagooncrank.core.placement.tests import _invariants
from lagooncrank.core.placement.tests import _simulation

SEEDS = range(12)
FORMED_STEPS = 80
ROUNDS = 12


def missing_replica_steps(policy: str, seed: int) -> int:
    """Returns the missing replicas of a random run, summed over its steps."""
    rng = random.Random(seed)
    cluster = _simulation.SimulatedCluster(policy)
    for _ in range(FORMED_STEPS):
        cluster.step()
    missing = 0
    for _ in range(ROUNDS):
        engine = cluster.fleet.engines[rng.randrange(9)]
        engine.is_paused = True
        paused_steps = rng.randrange(4, 40)
        for step in range(rng.randrange(paused_steps, 100)):
            if step == paused_steps:
                engine.is_paused = False
                if rng.random() < 0.5:
                    engine.start()
            cluster.step()
            _invariants.check(cluster)
            missing += _missing(cluster)
        engine.is_paused = False
    return missing


def _missing(cluster: _simulation.SimulatedCluster) -> int:
    return sum(
        max(0, s.replicas - cluster.serving_count(s))
        for s in cluster.declarations.model_services
    )


def test_weighted_misses_replicas_no_longer_than_first_fit() -> None:
    weighted = sum(missing_replica_steps("weighted", s) for s in SEEDS)
    first_fit = sum(missing_replica_steps("first_fit", s) for s in SEEDS)
    assert weighted <= first_fit
