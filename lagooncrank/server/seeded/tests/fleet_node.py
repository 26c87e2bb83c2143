"""Fleet view of one node with a manual clock, and a report for it."""

from typing import Any
from typing import cast

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank import settings
from lagooncrank.server.seeded import _fleet_view

TICK_MS = 50
SERVER = model.BackendServerId("s1")
#: Node that an entry follows; its link stays up.
UPSTREAM = model.NodeId("10.0.0.1")


class _Links:
    def on_message(self, *_: object) -> None:
        pass

    def on_connected(self, _: object) -> None:
        pass

    def add_peer(self, *_: object) -> None:
        pass

    def send_all(self, *_: object) -> None:
        pass

    def connected(self) -> frozenset[model.NodeId]:
        return frozenset({UPSTREAM})


class _Shared:
    def __init__(self) -> None:
        self.has_quorum = True
        self.upstream = UPSTREAM
        self.followers: frozenset[model.NodeId] = frozenset()
        self.voters = None

    def set_peers(self, *_: object) -> None:
        pass


class _Log:
    def __init__(self) -> None:
        self.written: list[tuple[object, object]] = []

    def write(self, event: object, **fields: object) -> None:
        self.written.append((event, fields.get("dependency")))


class FleetNode:
    """Fleet view of a node with a manual clock."""

    def __init__(self, role: settings.Role = settings.Role.CONTROL) -> None:
        self.clock = clocks.ManualClock(start_ms=1_000)
        self.observed_clock = observed_time.ObservedClock(self.clock)
        self.shared = _Shared()
        self.log = _Log()
        node_settings = settings.SeededSettings(
            role=role,
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
            self.observed_clock,
            cast(Any, self.log),
        )

    def pass_time(self, duration_ms: int) -> None:
        for _ in range(duration_ms // TICK_MS):
            self.clock.advance(TICK_MS)
            self.observed_clock.tick()
            now_ms = self.clock.now_ms()
            self.view.connectivity.update(now_ms, self.observed_clock.now_ms())
            self.view.table.evict_expired(now_ms)


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
