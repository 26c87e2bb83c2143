"""Targets, as the newest document declares services and models."""

import dataclasses
import types
from typing import Any
from typing import cast

import pytest

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank.core import catalog
from lagooncrank.core import fleet
from lagooncrank.core.groups.tests import builders
from lagooncrank.server.seeded import _stall_detector
from lagooncrank.server.seeded import _target_selector


def declared(*models: model.ModelProfile) -> model.ServingConfig:
    engine = builders.SERVICE_CONFIG.engine
    assert engine is not None
    service = dataclasses.replace(
        builders.SERVICE_CONFIG,
        engine=dataclasses.replace(engine, models=models),
    )
    return model.ServingConfig(1, (), (service,))


# Guards against: requests began in a group of the size that a model had in an
# older document.
@pytest.mark.parametrize(
    ("config", "is_used"),
    [
        pytest.param(declared(builders.LARGE), True, id="same-size"),
        pytest.param(
            declared(
                dataclasses.replace(builders.LARGE, engines_per_replica=3)
            ),
            False,
            id="another-size",
        ),
        pytest.param(declared(builders.SMALL), True, id="retired-but-open"),
    ],
)
def test_head_serves_while_its_group_has_the_declared_size(
    config: model.ServingConfig, is_used: bool
) -> None:
    group = builders.group(1, 2, 3, 4)
    view: Any = types.SimpleNamespace(
        table=fleet.ServerTable(builders.UNREACHABLE_AFTER_MS),
        stall_detector=_stall_detector.StallDetector(),
    )
    shared: Any = types.SimpleNamespace(
        view=types.SimpleNamespace(groups={group.name: group})
    )
    selector = _target_selector.TargetSelector(
        model.FailureDomainId("a"),
        shared,
        view,
        cast(Any, types.SimpleNamespace(catalog=catalog.Catalog(config))),
        cast(Any, types.SimpleNamespace(has_limits=False)),
        clocks.ManualClock(),
    )
    targets = list(selector._group_heads(builders.SERVICE, "large"))
    assert bool(targets) is is_used


# Guards against: a route that also sends streams to a plain service (which no
# group serves) was refused there for want of a replica.
@pytest.mark.parametrize("model_name", ["", "large"])
def test_plain_service_serves_requests_that_name_a_model(
    model_name: str,
) -> None:
    plain = dataclasses.replace(builders.SERVICE_CONFIG, engine=None)
    config = model.ServingConfig(1, (), (plain,))
    table = builders.server_table(builders.engine_report(1, domain=""))
    view: Any = types.SimpleNamespace(table=table, entry_count=1)
    selector = _target_selector.TargetSelector(
        model.FailureDomainId("a"),
        cast(Any, types.SimpleNamespace()),
        view,
        cast(Any, types.SimpleNamespace(catalog=catalog.Catalog(config))),
        cast(Any, types.SimpleNamespace(has_limits=False)),
        clocks.ManualClock(),
    )
    targets = selector._serving_targets(builders.SERVICE, model_name)
    assert [t.server_id for t in targets] == ["s1"]
    assert not selector.has_slots(builders.SERVICE, model_name)
