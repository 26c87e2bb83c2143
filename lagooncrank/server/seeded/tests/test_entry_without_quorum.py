"""Entries that follow a control node while it has no quorum."""

import pytest

from lagooncrank import settings
from lagooncrank.server.seeded.tests.fleet_node import FleetNode
from lagooncrank.server.seeded.tests.fleet_node import report
from lagooncrank.server.seeded.tests.fleet_node import SERVER


# Guards against an entry that counts refused reports as silent servers, and
# that forgets all servers after a minute of it.
@pytest.mark.parametrize("duration_without_quorum_ms", [4_000, 70_000])
def test_servers_stay_known_while_the_upstream_has_no_quorum(
    duration_without_quorum_ms: int,
) -> None:
    node = FleetNode(settings.Role.ENTRY)
    node.pass_time(500)
    node.view.reports.record(report())
    node.shared.has_quorum = False
    node.pass_time(duration_without_quorum_ms)
    record = node.view.table.get(SERVER)
    assert record is not None
    assert node.view.table.is_ready(record)
    node.shared.has_quorum = True
    node.pass_time(4_000)
    assert node.view.table.is_unreachable(record)
