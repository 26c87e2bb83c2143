"""Engines that lost their group, one crash after the other, and idle ones."""

import pytest

from lagooncrank import model
from lagooncrank.core import groups
from lagooncrank.core.groups.tests import world

NOW_MS = 10_000


def loads(
    reports: list[model.ServerReport], held: list[model.Group]
) -> dict[str, str]:
    """Returns the model that each engine is told to load."""
    staging = groups.StagingPlanner(window_ms=5_000)
    found = staging.runtime_loads(
        world.PLAN,
        world.table_of(*reports),
        {g.name: g for g in held},
        NOW_MS,
    )
    return {str(s.member.server_id): s.model_name for s in found}


def only(name: str, *numbers: int) -> list[model.ServerReport]:
    """Returns engines that hold one model, as does their host."""
    return [world.engine(n, staged=(name,), loaded=(name,)) for n in numbers]


@pytest.mark.parametrize(
    ("reports", "expected"),
    [
        pytest.param(
            only("large", 1, 2, 3),
            {"s1": "small", "s2": "small"},
            id="three-left-of-a-large-group-make-a-small-one",
        ),
        pytest.param(
            [*only("large", 1, 2, 3), world.engine(4)],
            {"s4": "large"},
            id="a-new-engine-completes-the-large-group",
        ),
        pytest.param(
            [*only("large", 1), *only("small", 2)],
            {"s1": "small"},
            id="one-load-makes-a-pair",
        ),
        pytest.param(only("small", 1, 2), {}, id="a-pair-forms-by-itself"),
        pytest.param(only("large", 1), {}, id="one-engine-makes-no-group"),
        pytest.param(
            [world.engine(1)], {"s1": "large"}, id="a-blank-one-is-prepared"
        ),
        pytest.param(
            [
                world.engine(1, domain="d1", staged=("large",)),
                world.engine(2, domain="d2", staged=("large",)),
            ],
            {},
            id="engines-of-two-domains-make-no-group",
        ),
    ],
)
def test_idle_engines_load_what_completes_a_group(
    reports: list[model.ServerReport], expected: dict[str, str]
) -> None:
    assert loads(reports, []) == expected


def test_model_that_lacks_more_is_completed_first() -> None:
    """Two large groups serve and no small one does."""
    held = [
        world.group(11, 12, 13, 14, epoch=7),
        world.group(15, 16, 17, 18, epoch=8),
    ]
    ready = [model.MemberState.READY] * 4
    serving = [r for g in held for r in world.members_of(g, list(ready))]
    idle = only("large", 1, 2, 3)
    found = loads([*serving, *idle, world.engine(4)], held)
    assert found["s4"] == "small"
    assert list(found.values()).count("large") == 0


def test_engine_under_way_is_not_loaded_again() -> None:
    staging = groups.StagingPlanner(window_ms=5_000)
    table = world.table_of(*only("large", 1, 2, 3))
    first = list(staging.runtime_loads(world.PLAN, table, {}, NOW_MS))
    assert len(first) == 2
    assert not list(
        staging.runtime_loads(world.PLAN, table, {}, NOW_MS + 1_000)
    )


def test_members_get_a_second_model_while_loads_are_few() -> None:
    """Without one, the rest of a group that loses a member serves nobody."""
    group = world.group(1, 2, 3, 4)
    states: list[model.MemberState | None] = [model.MemberState.READY] * 4
    found = loads(world.members_of(group, states), [group])
    assert set(found.values()) == {"small"}
    assert len(found) == 3, "half of the loads at once are left for idle ones"


def test_members_whose_host_keeps_another_model_load_nothing() -> None:
    group = world.group(1, 2, 3, 4)
    states: list[model.MemberState | None] = [model.MemberState.READY] * 4
    reports = [
        world.later(r, staged=("small",))
        for r in world.members_of(group, states)
    ]
    assert not loads(reports, [group])
