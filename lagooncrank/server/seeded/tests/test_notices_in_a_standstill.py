"""What a control node says of other nodes after it stood still itself."""

from collections.abc import Sequence

import pytest

from lagooncrank import model
from lagooncrank import settings
from lagooncrank.core import fleet
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded.tests import fleet_node

ENTRY = model.NodeId("10.0.0.9")
ADDRESS = "10.0.0.9:80"


def open_entry() -> fleet.NodeNotice:
    return fleet.NodeNotice(
        ENTRY,
        settings.Role.ENTRY,
        model.FailureDomainId("a"),
        ADDRESS,
        True,
        1,
        1,
    )


def listed(node: fleet_node.FleetNode) -> Sequence[str]:
    entries = node.view.open_entries(node.clock.now_ms())
    return [entry.address for entry in entries]


@pytest.fixture
def node() -> fleet_node.FleetNode:
    running = fleet_node.FleetNode()
    notices = fleet.NodeNotices((open_entry(),))
    running.view._on_notices(ENTRY, notices)
    assert listed(running) == [ADDRESS]
    return running


# Guards against: a control node that stood still told all entries that there
# was no entry, and no load, as it had not read their notices.
def test_entries_outlast_a_standstill_of_a_control_node(
    node: fleet_node.FleetNode, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent: list[object] = []
    monkeypatch.setattr(
        node.view._links, "send_all", lambda *message: sent.append(message[-1])
    )
    node.clock.advance(5 * _fleet_view.NOTICE_TTL_MS)
    node.view.refresh()
    assert listed(node) == [ADDRESS]
    (summary,) = (m for m in sent if isinstance(m, fleet.FleetSummary))
    assert [entry.address for entry in summary.open_entries] == [ADDRESS]


def test_entry_without_notices_is_removed(node: fleet_node.FleetNode) -> None:
    node.pass_time(_fleet_view.NOTICE_TTL_MS)
    assert not listed(node)
