from collections.abc import Callable

import hypothesis
from hypothesis import strategies
import pytest

from lagooncrank import model
from lagooncrank.core import placement
from lagooncrank.core.placement import _fencing
from lagooncrank.core.placement import _instances
from lagooncrank.core.placement.tests import _invariants
from lagooncrank.core.placement.tests import _simulation
from standins import fleet as fleets

#: Name of a failure, its argument (such as an engine's index) and the number
#: of steps that follow it.
Action = tuple[str, int, int]

#: Steps within which a healed cluster serves all replicas again.
HEALED_STEPS = 400

FAILURES: dict[str, Callable[[_simulation.SimulatedCluster, int], None]] = {
    "stop": lambda c, i: _engine(c, i).stop(),
    "start": lambda c, i: _engine(c, i).start(),
    "pause": lambda c, i: _set_paused(c, i, True),
    "resume": lambda c, i: _set_paused(c, i, False),
    "leave": lambda c, i: _engine(c, i).set_state(
        model.BackendServerState.LEAVING
    ),
    "pause_domain": lambda c, i: _set_domain_paused(c, i, True),
    "resume_domain": lambda c, i: _set_domain_paused(c, i, False),
    "replace_leader": lambda c, i: c.replace_leader(is_partitioned=False),
    "partition_leader": lambda c, i: c.replace_leader(is_partitioned=True),
    "delay_orders": lambda c, i: _set_order_delay(c, i),
    "drop_responses": lambda c, i: _set_drop_responses(c, i),
    "drain": lambda c, i: _drain(c, i),
    "end_drains": lambda c, i: c.end_drains(),
    "new_version": lambda c, i: c.declare_version(f"v{i}"),
    "no_failure": lambda c, i: None,
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


def _engine(cluster: _simulation.SimulatedCluster, index: int) -> fleets.Engine:
    return cluster.fleet.engines[index % len(cluster.fleet.engines)]


def _set_paused(
    cluster: _simulation.SimulatedCluster, index: int, paused: bool
) -> None:
    _engine(cluster, index).is_paused = paused


def _set_domain_paused(
    cluster: _simulation.SimulatedCluster, index: int, paused: bool
) -> None:
    domain = _engine(cluster, index).domain
    for engine in cluster.fleet.engines:
        if engine.domain == domain:
            engine.is_paused = paused


def _set_order_delay(cluster: _simulation.SimulatedCluster, index: int) -> None:
    cluster.order_delay_ms = index * _simulation.MAX_ORDER_MS // 11


def _drain(cluster: _simulation.SimulatedCluster, index: int) -> None:
    cluster.drained |= {_engine(cluster, index).instance_id}


def _set_drop_responses(
    cluster: _simulation.SimulatedCluster, index: int
) -> None:
    cluster.drop_responses = bool(index % 2)


def run(cluster: _simulation.SimulatedCluster, actions: list[Action]) -> None:
    for name, argument, steps in actions:
        FAILURES[name](cluster, argument)
        for _ in range(steps):
            cluster.step()
            _invariants.check(cluster)


@pytest.mark.parametrize("policy", placement.POLICIES.names())
@hypothesis.settings(max_examples=60)
@hypothesis.given(actions=actions_of(*FAILURES))
def test_invariants_hold_and_a_healed_cluster_serves_again(
    policy: str, actions: list[Action]
) -> None:
    cluster = _simulation.SimulatedCluster(policy)
    run(cluster, actions)
    cluster.heal()
    for _ in range(HEALED_STEPS):
        cluster.step()
        _invariants.check(cluster)
    for service in cluster.declarations.model_services:
        assert cluster.serving_count(service) == service.replicas
        serving_replicas = [
            r for r in cluster.serving_replicas() if r.service == service.name
        ]
        assert {r.version for r in serving_replicas} == {service.version}


def _only_own_orders(
    fence: _fencing.Fence,
    instance: _instances.Instance,
    kind: placement.OrderKind,
    fencing_number: int,
    now_ms: int,
) -> bool:
    own_ms = fence._tracker.quiescent_from_ms(
        instance.instance_id, kind, fencing_number
    )
    return own_ms <= min(now_ms, instance.member.last_seen_ms)


#: Faulty guards, each of which lets an outdated order take effect.
MUTANTS: dict[str, Callable[..., bool]] = {
    "no_quiet_period": lambda *_: True,
    "only_own_orders": _only_own_orders,
}


@pytest.mark.parametrize("mutant", sorted(MUTANTS))
def test_invariants_detect_a_faulty_fencing_guard(
    monkeypatch: pytest.MonkeyPatch, mutant: str
) -> None:
    monkeypatch.setattr(_fencing.Fence, "_is_quiescent", MUTANTS[mutant])
    names = ("delay_orders", "pause", "resume", "partition_leader")

    @hypothesis.settings(max_examples=1_000, phases=[hypothesis.Phase.generate])
    @hypothesis.given(actions=actions_of(*names))
    def search(actions: list[Action]) -> None:
        run(
            _simulation.SimulatedCluster("first_fit", (False,), domains=(4,)),
            actions,
        )

    with pytest.raises(AssertionError, match="executed after"):
        search()
