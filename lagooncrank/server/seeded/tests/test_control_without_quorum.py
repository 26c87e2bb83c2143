"""A control node becomes the leader after a time without a quorum.

Without a quorum it refuses server reports. When it counted the missing reports
as unreachable servers, it dissolved healthy groups once it was the leader.
"""

import pytest

from lagooncrank.server.seeded.tests.fleet_node import FleetNode
from lagooncrank.server.seeded.tests.fleet_node import report
from lagooncrank.server.seeded.tests.fleet_node import SERVER


@pytest.mark.parametrize("duration_without_quorum_ms", [4_000, 30_000])
def test_missing_reports_without_quorum_make_no_server_unreachable(
    duration_without_quorum_ms: int,
) -> None:
    node = FleetNode()
    node.pass_time(500)
    node.view.reports.record(report())
    node.shared.has_quorum = False
    node.pass_time(duration_without_quorum_ms)
    record = node.view.table.get(SERVER)
    assert record is not None
    assert not node.view.table.is_unreachable(record)
    node.shared.has_quorum = True
    node.pass_time(4_000)
    assert node.view.table.is_unreachable(record)


def test_time_without_quorum_does_not_count_as_warm_up() -> None:
    """After a start, a missing server may just not have reported yet."""
    node = FleetNode()
    node.shared.has_quorum = False
    node.pass_time(10_000)
    assert not node.view.table.is_warmed_up
    node.shared.has_quorum = True
    node.pass_time(4_000)
    assert node.view.table.is_warmed_up


def test_loss_and_return_of_the_quorum_are_logged() -> None:
    node = FleetNode()
    for has_quorum in (False, True):
        node.shared.has_quorum = has_quorum
        node.pass_time(100)
    assert [name for _, name in node.log.written] == ["quorum", "quorum"]
