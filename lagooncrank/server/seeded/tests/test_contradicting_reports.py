"""Reports that name a server, but cannot be its own."""

import dataclasses
import functools
import types
from typing import Any
from typing import cast

import pytest

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import catalog
from lagooncrank.core.groups.tests import builders
from lagooncrank.server.seeded import _control

CONFIG = model.ServingConfig(1, (), (builders.SERVICE_CONFIG,))
OTHER = model.ServiceName("other")
KNOWN = builders.engine_report(1)


# Guards against: a ping of another writer took a server from its service, or
# an engine from its group.
@pytest.mark.parametrize(
    ("known", "service", "domain", "has_document", "is_recorded"),
    [
        pytest.param(KNOWN, OTHER, "d1", True, False, id="another-writer"),
        pytest.param(KNOWN, builders.SERVICE, "d1", True, True, id="its-own"),
        pytest.param(
            KNOWN, builders.SERVICE, "", True, False, id="no-engine-any-more"
        ),
        pytest.param(None, OTHER, "d1", True, True, id="first-report"),
        pytest.param(KNOWN, OTHER, "d1", False, True, id="no-document"),
        pytest.param(
            dataclasses.replace(KNOWN, service=OTHER),
            OTHER,
            "d1",
            True,
            True,
            id="service-not-yet-declared",
        ),
    ],
)
async def test_report_that_contradicts_its_server_is_not_recorded(
    known: model.ServerReport | None,
    service: model.ServiceName,
    domain: str,
    has_document: bool,
    is_recorded: bool,
) -> None:
    recorded: list[model.ServerReport] = []
    table = builders.server_table(*([known] if known else []))
    index = catalog.Catalog(CONFIG) if has_document else None
    node = types.SimpleNamespace(
        view=types.SimpleNamespace(
            table=table, reports=types.SimpleNamespace(record=recorded.append)
        ),
        documents=types.SimpleNamespace(catalog=index),
        clock=clocks.ManualClock(),
        log_refused_report=lambda *_: None,
    )
    report = dataclasses.replace(
        builders.engine_report(1, sequence=2, domain=domain), service=service
    )
    find_problem = _control.ControlNode._find_problem
    node._find_problem = functools.partial(find_problem, cast(Any, node))
    code = await _control.ControlNode.record_report(cast(Any, node), report)
    assert code is (
        results.ResultCode.OK
        if is_recorded
        else results.ResultCode.INVALID_ANNOUNCEMENT
    )
    assert recorded == ([report] if is_recorded else [])
