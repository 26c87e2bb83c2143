"""Loads of engines that are left without a group after several crashes."""

import pytest

from lagooncrank import model
from lagooncrank.core import groups
from lagooncrank.core.groups.tests import builders

NOW_MS = 10_000


def staged_models(
    reports: list[model.ServerReport], existing: list[model.Group]
) -> dict[str, str]:
    """Returns the model that each engine's host is ordered to load."""
    staging = groups.StagingPlanner(window_ms=5_000)
    result = staging.runtime_loads(
        builders.SERVICE_CONFIG,
        builders.server_table(*reports),
        {g.name: g for g in existing},
        NOW_MS,
    )
    return {str(s.member.server_id): s.model_name for s in result}


def engines_with(name: str, *numbers: int) -> list[model.ServerReport]:
    """Returns engines that hold one model, which their host has staged."""
    return [
        builders.engine_report(n, staged=(name,), loaded=(name,))
        for n in numbers
    ]


@pytest.mark.parametrize(
    ("reports", "expected"),
    [
        pytest.param(
            engines_with("large", 1, 2, 3),
            {"s1": "small", "s2": "small"},
            id="three-members-of-a-large-group-form-a-small-one",
        ),
        pytest.param(
            [*engines_with("large", 1, 2, 3), builders.engine_report(4)],
            {"s4": "large"},
            id="a-new-engine-completes-the-large-group",
        ),
        pytest.param(
            [*engines_with("large", 1), *engines_with("small", 2)],
            {"s1": "small"},
            id="one-load-completes-a-small-group",
        ),
        pytest.param(
            engines_with("small", 1, 2), {}, id="complete-group-needs-no-load"
        ),
        pytest.param(
            engines_with("large", 1), {}, id="one-engine-forms-no-group"
        ),
        pytest.param(
            [builders.engine_report(1)],
            {"s1": "large"},
            id="engine-without-weights-is-prepared",
        ),
        pytest.param(
            [
                builders.engine_report(1, domain="d1", staged=("large",)),
                builders.engine_report(2, domain="d2", staged=("large",)),
            ],
            {},
            id="engines-of-two-domains-form-no-group",
        ),
    ],
)
def test_idle_engines_load_the_model_that_completes_a_group(
    reports: list[model.ServerReport], expected: dict[str, str]
) -> None:
    assert staged_models(reports, []) == expected


def test_model_furthest_below_its_target_is_loaded_first() -> None:
    """Two large groups are serving, but no small one."""
    existing = [
        builders.group(11, 12, 13, 14, epoch=7),
        builders.group(15, 16, 17, 18, epoch=8),
    ]
    ready = [model.MemberState.READY] * 4
    serving = [
        r for g in existing for r in builders.member_reports(g, list(ready))
    ]
    idle = engines_with("large", 1, 2, 3)
    result = staged_models(
        [*serving, *idle, builders.engine_report(4)], existing
    )
    assert result["s4"] == "small"
    assert list(result.values()).count("large") == 0


def test_engine_with_a_load_in_progress_gets_no_second_load() -> None:
    staging = groups.StagingPlanner(window_ms=5_000)
    table = builders.server_table(*engines_with("large", 1, 2, 3))
    first = list(
        staging.runtime_loads(builders.SERVICE_CONFIG, table, {}, NOW_MS)
    )
    assert len(first) == 2
    assert not list(
        staging.runtime_loads(
            builders.SERVICE_CONFIG, table, {}, NOW_MS + 1_000
        )
    )


def test_members_load_a_second_model_within_their_share() -> None:
    """Guards against idle engines after a group loses a member.

    Without a second model on their hosts, the remaining members cannot form a
    group of another model.
    """
    group = builders.group(1, 2, 3, 4)
    states: list[model.MemberState | None] = [model.MemberState.READY] * 4
    result = staged_models(builders.member_reports(group, states), [group])
    assert set(result.values()) == {"small"}
    assert len(result) == 3, "half of the loads are left for idle engines"


def test_members_whose_host_staged_another_model_load_nothing() -> None:
    group = builders.group(1, 2, 3, 4)
    states: list[model.MemberState | None] = [model.MemberState.READY] * 4
    reports = [
        builders.next_report(r, staged=("small",))
        for r in builders.member_reports(group, states)
    ]
    assert not staged_models(reports, [group])
