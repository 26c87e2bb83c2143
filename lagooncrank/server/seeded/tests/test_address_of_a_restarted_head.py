"""Heads of which an entry has only an old report after its restart."""

import types
from typing import Any
from typing import cast

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core import groups
from lagooncrank.core.groups.tests import builders
from lagooncrank.server.seeded import _stall_detector
from lagooncrank.server.seeded import _target_selector


# Guards against requests to the address that a head had in an earlier start.
def test_head_with_a_report_of_an_earlier_start_keeps_its_address() -> None:
    group = builders.group(1, 2)
    table = fleet.ServerTable(builders.UNREACHABLE_AFTER_MS)
    earlier = builders.engine_report(9, born_ms=50, sequence=90)
    table.put(
        model.ServerReport(
            group.head.server_id,
            earlier.born_ms,
            earlier.sequence,
            earlier.service,
            earlier.address,
            earlier.failure_domain,
            earlier.state,
            earlier.slots,
        ),
        0,
    )
    view: Any = types.SimpleNamespace(
        table=table,
        stall_detector=_stall_detector.StallDetector(),
    )
    shared: Any = types.SimpleNamespace(
        view=types.SimpleNamespace(groups={group.name: group})
    )
    selector = _target_selector.TargetSelector(
        model.FailureDomainId("a"),
        shared,
        view,
        cast(Any, types.SimpleNamespace(catalog=None)),
        cast(Any, types.SimpleNamespace(has_limits=False)),
        clocks.ManualClock(),
    )
    assert list(
        groups.serving_groups(
            builders.SERVICE, "large", {group.name: group}, table
        )
    ), "the group is in use"
    targets = list(selector._group_heads(builders.SERVICE, "large"))
    assert [t.address for t in targets] == [group.head.address]
