"""Engines are lost in pairs for good, faster than new ones can load weights.

The engines that remain must form groups from the weights that they hold: those
in memory, which an engine keeps when it leaves its group, and those that its
host staged before requests were served.
"""

import dataclasses

import pytest

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core import groups
from lagooncrank.core.groups import _inventory
from lagooncrank.core.groups import _runtime_loads
from lagooncrank.core.groups.tests import builders

NOW_MS = 10_000


def engine_that_left(
    number: int, held: str, staged: tuple[str, ...]
) -> list[model.ServerReport]:
    """Returns the last report in a group, and the one after leaving it."""
    in_group = builders.engine_report(
        number,
        staged=staged,
        loaded=(held,),
        membership=builders.membership_at(model.MemberState.READY),
    )
    idle = builders.next_report(in_group, loaded=(), membership=None)
    return [in_group, idle]


def table_after_a_loss() -> fleet.ServerTable:
    """Three of four members remain, and a spare holds the same model."""
    reports = [
        report
        for number in (1, 2, 3)
        for report in engine_that_left(number, "large", ("small",))
    ]
    spare = builders.engine_report(4, staged=("large",))
    return builders.server_table(*reports, spare)


def planned_models(table: fleet.ServerTable) -> list[str]:
    actions = groups.Planner().plan(
        builders.SERVICE_CONFIG,
        table,
        {},
        now_ms=NOW_MS,
        allow_cold_members=False,
        expects_more_engines=False,
    )
    return [a.model_name for a in actions if isinstance(a, groups.PlannedGroup)]


def test_remaining_members_form_their_group_again_with_a_spare() -> None:
    assert planned_models(table_after_a_loss()) == ["large"]


def test_engine_keeps_its_weights_until_it_joins_another_group() -> None:
    left = engine_that_left(1, "large", ())
    table = builders.server_table(*left)
    record = table.get(left[0].server_id)
    assert record is not None
    assert record.report.loaded == ("large",)
    joining = builders.next_report(
        left[1],
        membership=builders.membership_at(model.MemberState.JOINING, epoch=8),
    )
    table.put(joining, NOW_MS)
    record = table.get(left[0].server_id)
    assert record is not None
    assert record.report.loaded == ()


def test_restarted_engine_has_no_weights_in_memory() -> None:
    left = engine_that_left(1, "large", ())
    restarted = builders.engine_report(1, born_ms=200)
    table = builders.server_table(*left, restarted)
    record = table.get(restarted.server_id)
    assert record is not None
    assert record.report.loaded == ()


def test_kept_weights_are_passed_on_to_other_nodes() -> None:
    left = engine_that_left(1, "large", ())
    table = builders.server_table(*left)
    other = builders.server_table()
    updates = table.pop_updates(NOW_MS)
    assert updates is not None
    other.merge(updates, NOW_MS)
    record = other.get(left[0].server_id)
    assert record is not None
    assert record.report.loaded == ("large",)


@pytest.mark.parametrize(
    ("serving", "expected"),
    [
        pytest.param(
            [builders.group(1, 2, 3, 4)], "large", id="spare-of-a-large-group"
        ),
        pytest.param(
            [
                builders.group(1, 2, model_name="small", epoch=7),
                builders.group(3, 4, model_name="small", epoch=8),
            ],
            "small",
            id="spare-of-two-small-groups",
        ),
        pytest.param([], "large", id="domain-without-groups"),
    ],
)
def test_spare_engine_loads_what_its_domain_serves_before_requests(
    serving: list[model.Group], expected: str
) -> None:
    members = [
        report
        for g in serving
        for report in builders.member_reports(
            g, [model.MemberState.READY] * len(g.members)
        )
    ]
    spare = builders.engine_report(9)
    table = builders.server_table(*members, spare)
    staging = groups.StagingPlanner(window_ms=5_000)
    orders = staging.startup_loads(
        builders.SERVICE_CONFIG,
        table,
        {g.name: g for g in serving},
        NOW_MS,
        expects_more_engines=False,
    )
    loads = {o.member.server_id: o.model_name for o in orders}
    assert loads[spare.server_id] == expected


@pytest.mark.parametrize(
    ("staged", "loaded", "expected"),
    [
        pytest.param(("small",), (), [], id="not-yet-in-memory"),
        pytest.param(("small",), ("small",), ["large"], id="one-model"),
        pytest.param(("large",), ("small",), [], id="both-models"),
        pytest.param((), ("large",), ["small"], id="only-in-memory"),
    ],
)
def test_spare_engine_loads_the_model_that_it_lacks(
    staged: tuple[str, ...], loaded: tuple[str, ...], expected: list[str]
) -> None:
    spare = builders.engine_report(9, staged=staged, loaded=loaded)
    table = builders.server_table(spare)
    staging = groups.StagingPlanner(window_ms=5_000)
    orders = staging.startup_loads(
        builders.SERVICE_CONFIG, table, {}, NOW_MS, expects_more_engines=False
    )
    assert [o.model_name for o in orders] == expected


@pytest.mark.parametrize(
    ("spare", "is_startup", "expects_more", "expected"),
    [
        pytest.param(
            builders.engine_report(9, staged=("large",)),
            True,
            False,
            ["large"],
            id="staged-model",
        ),
        pytest.param(
            builders.engine_report(9, staged=("large",), loaded=("large",)),
            True,
            False,
            [],
            id="already-in-memory",
        ),
        pytest.param(
            builders.engine_report(9), True, False, [], id="nothing-staged"
        ),
        pytest.param(
            builders.engine_report(9, staged=("large",)),
            True,
            True,
            [],
            id="engines-are-still-registering",
        ),
        pytest.param(
            builders.engine_report(9, staged=("large",)),
            False,
            False,
            [],
            id="requests-are-served",
        ),
    ],
)
def test_spare_engine_loads_its_staged_model_into_memory(
    spare: model.ServerReport,
    is_startup: bool,
    expects_more: bool,
    expected: list[str],
) -> None:
    actions = groups.Planner().plan(
        builders.SERVICE_CONFIG,
        builders.server_table(spare),
        {},
        now_ms=NOW_MS,
        allow_cold_members=is_startup,
        expects_more_engines=expects_more,
    )
    preloads = [a for a in actions if isinstance(a, groups.PlannedGroup)]
    assert [a.model_name for a in preloads] == expected
    assert all(a.is_preload and len(a.members) == 1 for a in preloads)


def preload_actions(
    phase: model.GroupPhase, state: model.MemberState
) -> list[groups.Action]:
    preload = dataclasses.replace(
        builders.group(1, phase=phase), is_preload=True
    )
    table = builders.server_table(*builders.member_reports(preload, [state]))
    lifecycle = groups.GroupLifecycle()
    return list(lifecycle.next_actions(preload, table, (), NOW_MS))


def test_preload_group_never_serves() -> None:
    actions = preload_actions(model.GroupPhase.FORMING, model.MemberState.READY)
    assert [a.phase for a in actions if isinstance(a, groups.PhaseChange)] == [
        model.GroupPhase.DISSOLVING
    ]


def test_member_of_a_preload_group_leaves_once_the_weights_are_loaded() -> None:
    actions = preload_actions(
        model.GroupPhase.DISSOLVING, model.MemberState.READY
    )
    assert [a.kind for a in actions if isinstance(a, groups.Order)] == [
        groups.OrderKind.LEAVE
    ]


def test_preload_group_does_not_count_as_a_replica() -> None:
    preload = dataclasses.replace(
        builders.group(1, phase=model.GroupPhase.FORMING), is_preload=True
    )
    table = builders.server_table(
        *builders.member_reports(preload, [model.MemberState.JOINING])
    )
    engine = builders.SERVICE_CONFIG.engine
    assert engine is not None
    inventory = _inventory.inventory_of(
        builders.SERVICE_CONFIG, engine, table, {preload.name: preload}
    )
    assert inventory.group_counts == {"large": 0, "small": 0}


def test_host_that_loads_another_model_will_not_hold_its_staged_one() -> None:
    """Loads for one model must not undo loads in progress for the other."""
    reports = [builders.engine_report(n, staged=("large",)) for n in range(4)]
    table = builders.server_table(*reports)
    engine = builders.SERVICE_CONFIG.engine
    assert engine is not None
    inventory = _inventory.inventory_of(
        builders.SERVICE_CONFIG, engine, table, {}
    )
    in_progress = {str(r.server_id): "small" for r in reports[:2]}
    loads = list(_runtime_loads.plan_loads(inventory, in_progress, ()))
    assert not {load.report.server_id for load in loads} & set(in_progress)
    assert all(load.profile.name == "small" for load in loads)


def test_weights_in_memory_are_preferred_to_staged_ones() -> None:
    report = builders.engine_report(1, staged=("small",), loaded=("large",))
    assert _inventory.warmth(report, "large") is _inventory.Warmth.LOADED
    assert _inventory.warmth(report, "small") is _inventory.Warmth.STAGED


def small_groups(count: int) -> list[model.Group]:
    """Returns groups of the small model in another fabric domain."""
    return [
        builders.group(20 + 2 * n, 21 + 2 * n, model_name="small", epoch=20 + n)
        for n in range(count)
    ]


@pytest.mark.parametrize(
    ("staged", "group_count", "expected"),
    [
        pytest.param(("large", "small"), 5, [], id="kept-for-the-large-model"),
        pytest.param(("large", "small"), 1, ["small"], id="models-in-balance"),
        pytest.param(("small",), 5, ["small"], id="of-no-use-to-the-large"),
    ],
)
def test_small_groups_do_not_use_up_the_weights_of_the_large_model(
    staged: tuple[str, ...], group_count: int, expected: list[str]
) -> None:
    """Two engines would form a small group, but a large one needs four."""
    existing = small_groups(group_count)
    members = [
        dataclasses.replace(report, fabric_domain="d2")
        for g in existing
        for report in builders.member_reports(
            g, [model.MemberState.OPEN, model.MemberState.READY]
        )
    ]
    spares = [builders.engine_report(n, staged=staged) for n in (1, 2)]
    actions = groups.Planner().plan(
        builders.SERVICE_CONFIG,
        builders.server_table(*members, *spares),
        {g.name: g for g in existing},
        now_ms=NOW_MS,
        allow_cold_members=False,
        expects_more_engines=False,
    )
    formed = [a for a in actions if isinstance(a, groups.PlannedGroup)]
    assert [a.model_name for a in formed] == expected
