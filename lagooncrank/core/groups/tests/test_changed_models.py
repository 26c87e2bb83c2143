"""Documents that change the models of a service while its groups serve."""

from collections.abc import Sequence
import dataclasses

import pytest

from lagooncrank import model
from lagooncrank.core import groups
from lagooncrank.core.groups.tests import builders
from lagooncrank.core.groups.tests import emulated_fleet

ENGINE = builders.SERVICE_CONFIG.engine
NEW = dataclasses.replace(builders.SMALL, name="new")
#: The document changes when the first groups serve.
CHANGE_MS = 5_000
LENGTH_MS = 20_000


def service(models: Sequence[model.ModelProfile]) -> model.ServiceConfig:
    assert ENGINE is not None
    engine = dataclasses.replace(ENGINE, models=tuple(models))
    return dataclasses.replace(builders.SERVICE_CONFIG, engine=engine)


def sized(
    profile: model.ModelProfile, size: int, share: float = 0.5
) -> model.ModelProfile:
    return dataclasses.replace(
        profile, engines_per_replica=size, initial_share=share
    )


LARGE_ONLY = service([builders.LARGE])
SMALLER = service([sized(builders.LARGE, 3), builders.SMALL])
LARGER = service([builders.LARGE, sized(builders.SMALL, 3)])
NO_MODELS = service([])
SIZE_ZERO = service([sized(builders.LARGE, 0), builders.SMALL])
HUGE_SHARES = service(
    [sized(builders.LARGE, 4, 1e308), sized(builders.SMALL, 2, 1e308)]
)
PLAIN = dataclasses.replace(builders.SERVICE_CONFIG, engine=None)
RENAMED = service([builders.LARGE, NEW])
CHANGED = {
    "retired": LARGE_ONLY,
    "smaller-groups": SMALLER,
    "larger-groups": LARGER,
    "no-models": NO_MODELS,
    "groups-of-no-engine": SIZE_ZERO,
    "huge-shares": HUGE_SHARES,
    "plain-service": PLAIN,
    "another-model": RENAMED,
}


def sizes(changed: model.ServiceConfig) -> dict[str, int]:
    engine = changed.engine
    models = () if engine is None else engine.models
    return {m.name: m.engines_per_replica for m in models}


# Guards against: a document that retires a model, or declares one that no
# group can be formed of, ended every control node; groups of an older size
# served on.
@pytest.mark.parametrize("changed", CHANGED.values(), ids=CHANGED)
def test_groups_follow_the_models_of_the_newest_document(
    changed: model.ServiceConfig,
) -> None:
    simulated = emulated_fleet.EmulatedFleet(1, calm_ms=LENGTH_MS)
    simulated.change_service(changed, CHANGE_MS)
    simulated.run(LENGTH_MS)
    assert not simulated.breaches
    expected = sizes(changed)
    open_groups = simulated.open_groups
    assert all(expected.get(name) == size for name, size in open_groups)
    # The engines hold the weights of these two models.
    served = {"large", "small"} & {n for n, size in expected.items() if size}
    assert {name for name, _ in open_groups} == served


# Guards against: an engine is joined to a group of a new size while its head,
# which is in a group of the older one, is open.
@pytest.mark.parametrize("seed", range(24))
def test_changed_models_move_no_open_head(seed: int) -> None:
    simulated = emulated_fleet.EmulatedFleet(seed, tuple(CHANGED.values()))
    simulated.run(60_000)
    assert not simulated.breaches


def test_groups_of_a_withdrawn_service_remain() -> None:
    serving = builders.group(1, 2, 3, 4)
    assert not list(groups.obsolete_changes([serving], {}))


@pytest.mark.parametrize(
    ("phase", "is_preload", "expected"),
    [
        (model.GroupPhase.FORMING, False, [None]),
        (model.GroupPhase.SERVING, False, [model.GroupPhase.DISSOLVING]),
        (model.GroupPhase.DISSOLVING, False, []),
        (model.GroupPhase.FORMING, True, []),
    ],
)
def test_obsolete_group_ends_by_its_phase(
    phase: model.GroupPhase,
    is_preload: bool,
    expected: list[model.GroupPhase | None],
) -> None:
    group = dataclasses.replace(
        builders.group(1, 2, phase=phase), is_preload=is_preload
    )
    services = {builders.SERVICE: builders.SERVICE_CONFIG}
    changes = list(groups.obsolete_changes([group], services))
    assert [change.phase for change in changes] == expected
    assert all(
        change.waits_for_work == (phase is model.GroupPhase.SERVING)
        for change in changes
    )


# Guards against: engines that hold a retired model never loaded its successor.
def test_spare_engines_with_a_retired_model_load_its_successor() -> None:
    reports = [builders.engine_report(n, staged=("small",)) for n in range(2)]
    loads = groups.StagingPlanner(5_000).startup_loads(
        service([NEW]),
        builders.server_table(*reports),
        {},
        10_000,
        expects_more_engines=False,
    )
    assert [load.model_name for load in loads] == ["new", "new"]


def test_members_with_a_retired_model_load_its_successor() -> None:
    serving = builders.group(0, 1, 2, 3)
    reports = [
        builders.engine_report(n, staged=("small",), loaded=("large",))
        for n in range(4)
    ]
    loads = groups.StagingPlanner(5_000).runtime_loads(
        RENAMED,
        builders.server_table(*reports),
        {serving.name: serving},
        10_000,
    )
    assert {load.model_name for load in loads} == {"new"}
