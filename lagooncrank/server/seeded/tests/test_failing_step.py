"""Faults in one part of the leader's work on groups."""

import dataclasses
import types
from typing import Any

import pytest

from lagooncrank import model
from lagooncrank.core import groups
from lagooncrank.core.groups.tests import builders
from lagooncrank.server.seeded.tests import driver_builder

FIRST = model.ServiceName("first")
SECOND = model.ServiceName("second")


class FailingPlanner:
    """Fails for one service, and records the others."""

    def __init__(self) -> None:
        self.planned: list[model.ServiceName] = []

    def plan(self, service: model.ServiceConfig, *_: Any, **__: Any) -> Any:
        self.planned.append(service.name)
        if service.name == FIRST:
            raise KeyError("large")
        return ()


def service(name: model.ServiceName) -> model.ServiceConfig:
    return dataclasses.replace(builders.SERVICE_CONFIG, name=name)


# Guards against: a fault in the plan of one service ended the process of each
# leader, so that nothing was planned for any service.
async def test_failing_plan_of_one_service_stops_no_other_part(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    planner = FailingPlanner()
    monkeypatch.setattr(groups, "Planner", lambda: planner)
    shared = types.SimpleNamespace(
        term=1,
        is_leader=True,
        lease_holds=lambda: True,
        on_applied=lambda _: None,
        view=types.SimpleNamespace(groups={}, last_epoch=0),
    )
    nodes = types.SimpleNamespace(
        working=lambda _: set(),
        stalled=lambda _: set(),
        suspected=lambda _: set(),
        live=lambda _: (),
    )
    services = {name: service(name) for name in (FIRST, SECOND)}
    catalog = types.SimpleNamespace(services=services)
    lines: list[tuple[str, dict[str, Any]]] = []
    driver = driver_builder.build_driver(
        shared,
        None,
        write=lambda event, **fields: lines.append((event.value, fields)),
        documents=types.SimpleNamespace(catalog=catalog),
        nodes=nodes,
    )
    driver.step()
    driver.step()
    assert planner.planned == [FIRST, SECOND] * 2
    failures = [fields for event, fields in lines if event == "step_failed"]
    assert len(failures) == 1, "logged once, as long as it is the same"
    assert failures[0]["part"] == "plan of first"
    assert "KeyError('large')" in failures[0]["problem"]
