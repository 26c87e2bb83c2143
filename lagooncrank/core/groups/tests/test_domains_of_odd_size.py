"""Fabric domains whose engines groups of two sizes can't all take up.

Of nine engines, groups of four and three use seven or eight; two groups of four
or three of three use eight or nine. Engines that are left over serve nobody.
"""

import collections

import hypothesis
from hypothesis import strategies
import pytest

from lagooncrank import model
from lagooncrank.core import groups
from lagooncrank.core.groups import _inventory
from lagooncrank.core.groups import _planning
from lagooncrank.core.groups.tests import builders

NOW_MS = 10_000


def service_of(sizes: tuple[int, int]) -> model.ServiceConfig:
    """Returns a service with a large and a small model of these sizes."""
    large, small = sizes
    models = (
        model.ModelProfile("large", large, 0.57, 1.0, 16_000, 1_600),
        model.ModelProfile("small", small, 0.43, 0.6, 12_000, 1_100),
    )
    engine = model.EngineProfile(models, 13, 795_000, 4.5, 6)
    return model.ServiceConfig(builders.SERVICE, "/healthz", 314, engine)


def first_groups(
    sizes: tuple[int, int], domains: int, per_domain: int
) -> list[groups.PlannedGroup]:
    reports = [
        builders.engine_report(n, domain=f"d{n // per_domain}")
        for n in range(domains * per_domain)
    ]
    actions = groups.Planner().plan(
        service_of(sizes),
        builders.server_table(*reports),
        {},
        now_ms=NOW_MS,
        allow_cold_members=True,
        expects_more_engines=False,
    )
    return [a for a in actions if isinstance(a, groups.PlannedGroup)]


@pytest.mark.parametrize(
    ("sizes", "per_domain", "idle_at_most"),
    [
        pytest.param((4, 3), 9, 4, id="nine-engines-for-four-and-three"),
        pytest.param((4, 2), 8, 0, id="eight-engines-for-four-and-two"),
    ],
)
def test_few_engines_are_left_over_at_the_first_start(
    sizes: tuple[int, int], per_domain: int, idle_at_most: int
) -> None:
    formed = first_groups(sizes, 6, per_domain)
    used = sum(len(g.members) for g in formed)
    assert 6 * per_domain - used <= idle_at_most
    assert {g.model_name for g in formed} == {"large", "small"}


def test_groups_of_a_model_are_spread_if_nothing_is_left_over() -> None:
    """The loss of a whole domain then takes few groups of each model."""
    formed = first_groups((4, 2), 6, 8)
    domains = collections.Counter(
        int(g.members[0].server_id[1:]) // 8
        for g in formed
        if g.model_name == "large"
    )
    assert max(domains.values()) <= 2


def test_first_groups_wait_until_all_engines_have_registered() -> None:
    """Four of nine engines would form a large group, and leave five."""
    planner = groups.Planner()
    early = [builders.engine_report(n) for n in range(4)]

    def plan(now_ms: int, *, expects_more_engines: bool) -> int:
        actions = planner.plan(
            service_of((4, 3)),
            builders.server_table(*early),
            {},
            now_ms=now_ms,
            allow_cold_members=True,
            expects_more_engines=expects_more_engines,
        )
        return len(list(actions))

    assert plan(NOW_MS, expects_more_engines=True) == 0
    assert plan(NOW_MS + 1_000, expects_more_engines=False) == 1
    late_ms = NOW_MS + _planning.MAX_REGISTRATION_WAIT_MS
    assert plan(late_ms, expects_more_engines=True) == 1


@pytest.mark.parametrize("expects_more_engines", [True, False])
def test_engines_load_nothing_while_others_still_register(
    expects_more_engines: bool,
) -> None:
    """They may become members, which a load of another model would delay."""
    table = builders.server_table(builders.engine_report(1))
    staging = groups.StagingPlanner(window_ms=5_000)
    orders = staging.startup_loads(
        service_of((4, 3)),
        table,
        {},
        NOW_MS,
        expects_more_engines=expects_more_engines,
    )
    assert bool(list(orders)) is not expects_more_engines


def stranded_naively(sizes: tuple[int, ...], engines: int) -> int:
    """Tries every group size in turn; the reference for the fast version."""
    fits = [size for size in sizes if size <= engines]
    if not fits:
        return engines
    return min(stranded_naively(sizes, engines - size) for size in fits)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.tuples(strategies.integers(2, 6), strategies.integers(2, 6)),
    strategies.integers(0, 20),
)
def test_stranded_engines_match_the_naive_count(
    sizes: tuple[int, int], engines: int
) -> None:
    engine = service_of(sizes).engine
    assert engine is not None
    inventory = _inventory.EngineInventory(engine, {}, {}, {}, {})
    assert inventory.stranded_engines(engines) == stranded_naively(
        sizes, engines
    )
