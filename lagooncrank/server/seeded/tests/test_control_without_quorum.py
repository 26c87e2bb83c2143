"""A control node becomes the leader after a time without a quorum.

Without a quorum it refuses server reports. When it counted the missing reports
as unreachable servers, it dissolved healthy groups once it was the leader.
"""

from typing import Any
from typing import cast

import pytest

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import settings
from lagooncrank.server.seeded import _fleet_view

TICK_MS = 50
SERVER = model.BackendServerId("s1")


class _Links:
    def on_message(self, *_: object) -> None:
        pass

    def on_connected(self, _: object) -> None:
        pass

    def send_all(self, *_: object) -> None:
        pass


class _Shared:
    def __init__(self) -> None:
        self.has_quorum = True
        self.followers: frozenset[model.NodeId] = frozenset()


class _Log:
    def __init__(self) -> None:
        self.written: list[tuple[object, object]] = []

    def write(self, event: object, **fields: object) -> None:
        self.written.append((event, fields.get("dependency")))


class _FleetNode:
    """Fleet view of a control node with a manual clock."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock(start_ms=1_000)
        self.shared = _Shared()
        self.log = _Log()
        node_settings = settings.SeededSettings(
            role=settings.Role.CONTROL,
            ip="10.0.0.1",
            failure_domain_id=model.FailureDomainId("a"),
            peer_port=7000,
            seeds=("10.0.0.1:1",),
            shared_key="key",
        )
        self.view = _fleet_view.FleetView(
            node_settings,
            1,
            cast(Any, _Links()),
            cast(Any, self.shared),
            self.clock,
            cast(Any, self.log),
        )

    def pass_time(self, duration_ms: int) -> None:
        for _ in range(duration_ms // TICK_MS):
            self.clock.advance(TICK_MS)
            self.view._update_connectivity(self.clock.now_ms())


def report() -> model.ServerReport:
    return model.ServerReport(
        server_id=SERVER,
        born_ms=1,
        sequence=1,
        service=model.ServiceName("writers"),
        address="10.0.9.1:80",
        failure_domain=model.FailureDomainId("a"),
        state=model.ServerState.READY,
        slots=13,
    )


@pytest.mark.parametrize("duration_without_quorum_ms", [4_000, 30_000])
def test_missing_reports_without_quorum_make_no_server_unreachable(
    duration_without_quorum_ms: int,
) -> None:
    node = _FleetNode()
    node.pass_time(500)
    node.view.record_report(report())
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
    node = _FleetNode()
    node.shared.has_quorum = False
    node.pass_time(10_000)
    assert not node.view.table.is_warmed_up
    node.shared.has_quorum = True
    node.pass_time(4_000)
    assert node.view.table.is_warmed_up


def test_loss_and_return_of_the_quorum_are_logged() -> None:
    node = _FleetNode()
    for has_quorum in (False, True):
        node.shared.has_quorum = has_quorum
        node.pass_time(100)
    assert [name for _, name in node.log.written] == ["quorum", "quorum"]
