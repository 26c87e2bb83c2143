"""Planners that keep what they decided under an older document."""

import dataclasses

import pytest

from lagooncrank import model
from lagooncrank.core import groups
from lagooncrank.core.groups.tests import builders
from lagooncrank.core.groups.tests import emulated_fleet
from lagooncrank.core.groups.tests import test_changed_models as documents

NOW_MS = 10_000
STEP_MS = 100
#: The document changes when the first groups serve, and again while engines
#: are on their way to other groups.
CHANGES_MS = (5_000, 6_100)
LENGTH_MS = 30_000
#: Document under which no service has engines of the test.
VANISHED = dataclasses.replace(
    builders.SERVICE_CONFIG, name=model.ServiceName("other")
)
SHARES_SWAPPED = documents.service(
    [
        documents.sized(builders.LARGE, 4, 0.1),
        documents.sized(builders.SMALL, 2, 0.9),
    ]
)
MOVED_AWAY = documents.LARGE_ONLY
SIZES_SWAPPED = documents.service(
    [documents.sized(builders.LARGE, 2), documents.sized(builders.SMALL, 4)]
)
DOCUMENTS = {
    **documents.CHANGED,
    "usual": builders.SERVICE_CONFIG,
    "vanished": VANISHED,
    "shares-swapped": SHARES_SWAPPED,
    "sizes-swapped": SIZES_SWAPPED,
}


def reports() -> list[model.ServerReport]:
    """Returns engines in all states that planners distinguish."""
    joined = builders.membership_at(model.MemberState.OPEN)
    return [
        builders.engine_report(0, staged=("large", "small")),
        builders.engine_report(1, staged=("small",)),
        builders.engine_report(2, staged=("large",)),
        builders.engine_report(3, loaded=("small",)),
        builders.engine_report(4, staged=("old",), loaded=("old",)),
        builders.engine_report(5),
        builders.engine_report(6, loaded=("large",), membership=joined),
        builders.engine_report(7, loaded=("large",), membership=joined),
        builders.engine_report(8, loaded=("large",), membership=joined),
        builders.engine_report(9, loaded=("large",), membership=joined),
        builders.engine_report(10, "d2", staged=("small",)),
        builders.engine_report(11, "d2", staged=("small",)),
    ]


def declared(service: model.ServiceConfig) -> set[str]:
    """Returns the models that a group can be formed of."""
    return {name for name, size in documents.sizes(service).items() if size}


# Guards against: a planner that met a model, a size or a load of an older
# document, and failed at each step from then on.
@pytest.mark.parametrize("newer", DOCUMENTS)
@pytest.mark.parametrize("older", DOCUMENTS)
def test_planners_go_on_under_a_newer_document(older: str, newer: str) -> None:
    table = builders.server_table(*reports())
    serving = builders.group(6, 7, 8, 9)
    existing = {serving.name: serving}
    planner = groups.Planner()
    staging = groups.StagingPlanner(5_000)
    now_ms = NOW_MS
    for name in (older, newer, older, newer):
        service = DOCUMENTS[name]
        for is_startup in (True, False):
            planned = planner.plan(
                service,
                table,
                existing,
                now_ms=now_ms,
                allow_cold_members=is_startup,
                expects_more_engines=False,
            )
            formed = {
                action.model_name
                for action in planned
                if isinstance(action, groups.PlannedGroup)
            }
            assert formed <= declared(service)
            loads = (
                staging.startup_loads(
                    service,
                    table,
                    existing,
                    now_ms,
                    expects_more_engines=False,
                )
                if is_startup
                else staging.runtime_loads(service, table, existing, now_ms)
            )
            assert {load.model_name for load in loads} <= declared(service)
            list(groups.obsolete_changes([serving], {service.name: service}))
            now_ms += STEP_MS


# Guards against: groups of another size than the newest document's, engines
# that serve nothing, or a join while a head is open, after two changes.
@pytest.mark.parametrize("second", DOCUMENTS)
@pytest.mark.parametrize("first", DOCUMENTS)
def test_groups_follow_two_changes_in_a_row(first: str, second: str) -> None:
    simulated = emulated_fleet.EmulatedFleet(1, calm_ms=LENGTH_MS)
    for name, at_ms in zip((first, second), CHANGES_MS, strict=True):
        simulated.change_service(DOCUMENTS[name], at_ms)
    simulated.run(LENGTH_MS)
    assert not simulated.breaches
    if DOCUMENTS[second].name != builders.SERVICE:
        return
    expected = documents.sizes(DOCUMENTS[second])
    open_groups = simulated.open_groups
    assert all(expected.get(name) == size for name, size in open_groups)
    served = {"large", "small"} & declared(DOCUMENTS[second])
    assert {name for name, _ in open_groups} == served


# Guards against: engines that were freed for a model stayed reserved for it
# when the next document withdrew it.
def test_engines_reserved_for_a_withdrawn_model_serve_another() -> None:
    small_only = documents.service([builders.SMALL])
    pairs = [
        builders.group(2 * n, 2 * n + 1, model_name="small", epoch=n + 1)
        for n in range(6)
    ]
    table = builders.server_table(
        *(
            builders.engine_report(
                number, f"d{number // 4}", staged=("large", "small")
            )
            for number in range(12)
        )
    )
    planner = groups.Planner()

    def plan(
        service: model.ServiceConfig, existing: list[model.Group]
    ) -> list[groups.Action]:
        return list(
            planner.plan(
                service,
                table,
                {group.name: group for group in existing},
                now_ms=NOW_MS,
                allow_cold_members=False,
                expects_more_engines=False,
            )
        )

    dissolved = [
        action.group
        for action in plan(builders.SERVICE_CONFIG, pairs)
        if isinstance(action, groups.PhaseChange)
    ]
    assert dissolved
    remaining = [group for group in pairs if group not in dissolved]
    formed = [
        action.model_name
        for action in plan(small_only, remaining)
        if isinstance(action, groups.PlannedGroup)
    ]
    assert formed == ["small"] * len(dissolved)
