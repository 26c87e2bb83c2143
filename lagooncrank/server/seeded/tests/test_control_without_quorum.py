"""A control node that had no quorum for a while leads afterwards.

Without a quorum it refuses the reports of backend servers. When it took their
silence for loss, it dissolved good groups as soon as it led.
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


class _Node:
    """View of a control node on a manual clock."""

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


@pytest.mark.parametrize("silent_ms", [4_000, 30_000])
def test_silence_without_a_quorum_makes_no_server_lost(silent_ms: int) -> None:
    node = _Node()
    node.pass_time(500)
    node.view.record_report(report())
    node.shared.has_quorum = False
    node.pass_time(silent_ms)
    known = node.view.table.get(SERVER)
    assert known is not None
    assert not node.view.table.is_unreachable(known)
    node.shared.has_quorum = True
    node.pass_time(4_000)
    assert node.view.table.is_unreachable(known)


def test_node_that_only_waited_for_a_quorum_has_not_listened() -> None:
    """After its start, servers that are unknown may not have been heard."""
    node = _Node()
    node.shared.has_quorum = False
    node.pass_time(10_000)
    assert not node.view.table.is_warmed_up
    node.shared.has_quorum = True
    node.pass_time(4_000)
    assert node.view.table.is_warmed_up


def test_loss_and_return_of_the_quorum_are_logged() -> None:
    node = _Node()
    for has_quorum in (False, True):
        node.shared.has_quorum = has_quorum
        node.pass_time(100)
    assert [name for _, name in node.log.written] == ["quorum", "quorum"]
