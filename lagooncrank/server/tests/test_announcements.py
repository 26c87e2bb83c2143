from typing import Any

from lagooncrank import clock
from lagooncrank import model
from lagooncrank.core import membership
from lagooncrank.server import _announcements
from lagooncrank.server import _interfaces

LEASES = model.LeaseRules(announcement_ms=1_000)
SERVER = model.BackendServerId("b1")


class FakeNetwork:
    """Delivers messages at once; drops those of a node that is cut off."""

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, str], _interfaces.PeerHandler] = {}
        self.cut_off: set[str] = set()
        self.sent: list[str] = []

    def deliver(self, sender: str, receiver: str, kind: str, body: Any) -> None:
        self.sent.append(kind)
        if not {sender, receiver} & self.cut_off:
            self.handlers[receiver, kind](model.NodeId(sender), body)


class FakeLinks:
    """Implements `PeerLinks` over a `FakeNetwork`."""

    def __init__(self, network: FakeNetwork, own: str, peer: str) -> None:
        self._network = network
        self._own = own
        self._peer = model.NodeId(peer)

    def send(self, node_id: model.NodeId, kind: str, body: Any) -> None:
        self._network.deliver(self._own, node_id, kind, body)

    def on_message(
        self, kind: str, body: type, handler: _interfaces.PeerHandler
    ) -> None:
        self._network.handlers[self._own, kind] = handler

    def connected(self) -> frozenset[model.NodeId]:
        return frozenset({self._peer})


class EntryPair:
    """Two entries that exchange announcements on a manual clock."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        self.network = FakeNetwork()
        self.tables = [self._table("n1"), self._table("n2")]
        self.exchanges = [
            self._exchange(self.tables[0], "n1", "n2"),
            self._exchange(self.tables[1], "n2", "n1"),
        ]

    def _table(self, node: str) -> membership.MembershipTable:
        return membership.MembershipTable(model.NodeId(node), 1, LEASES)

    def _exchange(
        self, table: membership.MembershipTable, own: str, peer: str
    ) -> _announcements.AnnouncementExchange:
        links = FakeLinks(self.network, own, peer)
        return _announcements.AnnouncementExchange(table, links, self.clock)

    def announce_to_first(
        self, sequence: int, state: model.BackendServerState
    ) -> None:
        announcement = model.Announcement(
            backend_server_id=SERVER,
            address="127.0.0.1:9000",
            instance_id=model.InstanceId("i1"),
            failure_domain_id=model.FailureDomainId("fd1"),
            fabric_domain_id=model.FabricDomainId(""),
            kind=model.BackendServerKind.PLAIN_SERVICE,
            incarnation=1,
            sequence=sequence,
            state=state,
        )
        self.tables[0].record_announcement(announcement, self.clock.now_ms())
        self.exchanges[0].exchange()

    def state_at_second(self) -> model.BackendServerState | None:
        member = self.tables[1].find(SERVER, self.clock.now_ms())
        return member.announcement.state if member else None


READY = model.BackendServerState.READY
LEAVING = model.BackendServerState.LEAVING


def test_lost_leaving_announcement_is_resent() -> None:
    pair = EntryPair()
    pair.announce_to_first(1, READY)
    assert pair.state_at_second() is READY
    pair.network.cut_off.add("n2")
    pair.announce_to_first(2, LEAVING)
    pair.network.cut_off.clear()
    pair.clock.advance(500)
    pair.announce_to_first(3, LEAVING)
    assert pair.network.sent[-1] == _announcements.RESEND_KIND
    pair.announce_to_first(4, LEAVING)
    assert pair.state_at_second() is LEAVING


def test_cut_off_entry_expires_an_unresponsive_server() -> None:
    pair = EntryPair()
    pair.announce_to_first(1, READY)
    pair.network.cut_off.add("n2")
    pair.clock.advance(1_000)
    pair.announce_to_first(2, READY)
    assert pair.state_at_second() is None
