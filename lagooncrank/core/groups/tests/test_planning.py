"""Which groups are formed, by pattern of arrival and loss."""

import dataclasses

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core import groups
from lagooncrank.core.groups.tests import world

NOW_MS = 10_000
BOTH = ("large", "small")


def plan(
    table: fleet.ServerTable,
    held: list[model.Group],
    *,
    allow_cold_members: bool = False,
    expects_more_engines: bool = False,
    planner: groups.Planner | None = None,
) -> list[groups.Action]:
    planner = planner or groups.Planner()
    actions = planner.plan(
        world.PLAN,
        table,
        {g.name: g for g in held},
        now_ms=NOW_MS,
        allow_cold_members=allow_cold_members,
        expects_more_engines=expects_more_engines,
    )
    return list(actions)


def formed(actions: list[groups.Action]) -> list[str]:
    return sorted(
        a.model_name for a in actions if isinstance(a, groups.PlannedGroup)
    )


def engines(
    count: int, per_domain: int = 8, staged: tuple[str, ...] = ()
) -> list[model.ServerReport]:
    return [
        world.engine(n, domain=f"d{n // per_domain}", staged=staged)
        for n in range(count)
    ]


def small_pairs() -> list[model.Group]:
    """Returns six groups of the small model, of twelve engines."""
    return [
        world.group(n, n + 1, model_name="small", epoch=n)
        for n in range(0, 12, 2)
    ]


def test_first_start_divides_engines_by_share() -> None:
    found = plan(world.table_of(*engines(48)), [], allow_cold_members=True)
    assert formed(found) == ["large"] * 8 + ["small"] * 8
    members = [
        m.server_id
        for a in found
        if isinstance(a, groups.PlannedGroup)
        for m in a.members
    ]
    assert len(members) == len(set(members)) == 48


def test_pairs_wait_while_engines_still_arrive() -> None:
    table = world.table_of(*engines(3))
    assert not plan(
        table, [], allow_cold_members=True, expects_more_engines=True
    )
    assert formed(plan(table, [], allow_cold_members=True)) == ["small"]


def test_groups_stay_within_a_fabric_domain() -> None:
    reports = [world.engine(n, domain=f"d{n}", staged=BOTH) for n in range(8)]
    assert not plan(world.table_of(*reports), [])


def test_no_group_waits_for_the_weight_store_while_callers_are_served() -> None:
    assert not plan(world.table_of(*engines(4)), [])
    warm = engines(4, staged=("large",))
    assert formed(plan(world.table_of(*warm), [])) == ["large"]


def test_engine_that_holds_the_weights_is_preferred() -> None:
    reports = [
        *engines(3, staged=("small",)),
        world.engine(7, domain="d0", loaded=("small",)),
    ]
    found = plan(world.table_of(*reports), [world.group(50, 51, 52, 53)])
    forms = [a for a in found if isinstance(a, groups.PlannedGroup)]
    assert "s7" in [m.server_id for m in forms[0].members]


def test_pairs_of_one_domain_make_room_for_a_model_without_a_group() -> None:
    pairs = small_pairs()
    reports = engines(12, per_domain=4, staged=("large",))
    found = plan(world.table_of(*reports), pairs)
    broken = [a for a in found if isinstance(a, groups.PhaseChange)]
    assert len(broken) == 2
    assert all(a.waits_for_work for a in broken)


def test_engines_set_free_are_kept_for_the_model_that_lacks_them() -> None:
    pairs = small_pairs()
    reports = engines(12, per_domain=4, staged=BOTH)
    planner = groups.Planner()
    table = world.table_of(*reports)
    broken = [
        a.group
        for a in plan(table, pairs, planner=planner)
        if isinstance(a, groups.PhaseChange)
    ]
    left = [g for g in pairs if g not in broken[:1]]
    assert not formed(plan(table, left, planner=planner))
    left = [g for g in pairs if g not in broken]
    assert formed(plan(table, left, planner=planner)) == ["large"]


def test_hosts_load_a_second_model_before_callers_are_served() -> None:
    group = world.group(1, 2, model_name="small")
    reports = [
        world.engine(1, staged=("small",)),
        world.engine(2, staged=("large",)),
    ]
    staging = groups.StagingPlanner(window_ms=5_000)
    table = world.table_of(*reports)
    held = {group.name: group}
    stages = list(staging.startup_loads(world.PLAN, table, held, NOW_MS))
    assert [(s.member.server_id, s.model_name) for s in stages] == [
        ("s1", "large")
    ]
    assert not list(
        staging.startup_loads(world.PLAN, table, held, NOW_MS + 100)
    )


def test_load_that_has_ended_makes_room_for_the_next() -> None:
    """A release replaces engines faster than a load takes."""
    staging = groups.StagingPlanner(window_ms=5_000)
    table = world.table_of(*engines(8, per_domain=4))
    first = list(staging.runtime_loads(world.PLAN, table, {}, NOW_MS))
    assert len(first) == 6
    later_ms = NOW_MS + 16_000
    assert not list(staging.runtime_loads(world.PLAN, table, {}, later_ms))
    done = [
        world.later(r, staged=("large",))
        for r in engines(8, per_domain=4)
        if r.server_id in {s.member.server_id for s in first}
    ]
    for report in done:
        table.put(report, later_ms)
    again = list(staging.runtime_loads(world.PLAN, table, {}, later_ms))
    assert len(again) == 2


def test_late_loads_keep_below_half_of_the_limit_over_a_window() -> None:
    table = world.table_of(*engines(40, per_domain=4))
    staging = groups.StagingPlanner(window_ms=5_000)
    began = list(staging.runtime_loads(world.PLAN, table, {}, NOW_MS))
    assert len(began) == 6, "no more than load at full speed at once"
    pace = groups.LoadRateLimiter(window_ms=5_000)
    pace.note(9, NOW_MS)
    assert pace.room(4.0, NOW_MS + 4_999) == 0
    assert pace.room(4.0, NOW_MS + 5_001) == 9


def test_entry_sends_to_open_whole_groups_only() -> None:
    whole = world.group(1, 2, epoch=7)
    closed = world.group(3, 4, epoch=8)
    lacking = world.group(5, 6, epoch=9)
    ready = model.MemberState.READY
    opened = model.MemberState.OPEN
    reports = [
        *world.members_of(whole, [opened, ready]),
        *world.members_of(closed, [ready, ready]),
        *world.members_of(lacking, [opened, None]),
    ]
    held = {g.name: g for g in (whole, closed, lacking)}
    table = world.table_of(*reports)
    found = groups.serving_groups(world.SERVICE, "large", held, table)
    assert [g.name for g in found] == ["g7"]


def test_engines_of_an_open_head_without_a_group_are_not_used() -> None:
    """Its group was forgotten while it could not be heard."""
    opened = model.MemberState.OPEN
    ready = model.MemberState.READY
    reports = [
        world.engine(1, staged=BOTH, membership=world.place(opened, 0, 5)),
        world.engine(2, staged=BOTH, membership=world.place(ready, 1, 5)),
        world.engine(3, staged=BOTH),
    ]
    assert not plan(world.table_of(*reports), [])
    closed = world.engine(1, staged=BOTH, membership=world.place(ready, 0, 5))
    table = world.table_of(closed, *reports[1:])
    assert formed(plan(table, [])) == ["small"]


def test_group_whose_head_is_lost_does_not_keep_others_from_changing() -> None:
    """Its work is not waited for, as nobody can say when it ends."""
    pairs = small_pairs()
    reports = engines(12, per_domain=4, staged=("large",))
    leaving = dataclasses.replace(
        world.group(20, 21, phase=model.GroupPhase.DISSOLVING, epoch=99),
        waits_for_work=True,
    )
    table = world.table_of(*reports, world.engine(20), world.engine(21))
    assert not plan(table, [*pairs, leaving])
    table.mark_unreachable(model.BackendServerId("s20"))
    found = plan(table, [*pairs, leaving])
    assert len([a for a in found if isinstance(a, groups.PhaseChange)]) == 2
