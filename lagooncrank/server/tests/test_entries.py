import dataclasses
from typing import Any

import pytest

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import settings
from lagooncrank.server import _entries
from lagooncrank.server import _lifecycle
from lagooncrank.server import _metrics
from lagooncrank.server import _ports

D1 = model.FailureDomainId("d1")
D2 = model.FailureDomainId("d2")


def node(name: str, domain: model.FailureDomainId) -> settings.PeerSettings:
    return settings.PeerSettings(
        node_id=model.NodeId(name),
        peer_address="",
        entry_address=name,
        failure_domain_id=domain,
    )


NODES = (node("n1", D1), node("n2", D1), node("n3", D2), node("n4", D2))
VOTER = dataclasses.replace(node("n5", D2), roles=(settings.Role.CONTROL,))


class Links:
    """Links whose peers are all connected; messages are handed in."""

    def __init__(self) -> None:
        self.handlers: dict[str, _ports.PeerHandler] = {}
        self.sent: list[tuple[model.NodeId, Any]] = []
        self.up = frozenset(n.node_id for n in NODES[1:])

    def send(self, node_id: model.NodeId, kind: str, body: Any) -> None:
        self.sent.append((node_id, body))

    def on_message(
        self, kind: str, body: type, handler: _ports.PeerHandler
    ) -> None:
        self.handlers[kind] = handler

    def connected(self) -> frozenset[model.NodeId]:
        return self.up

    def say(self, name: str, serving: bool) -> None:
        handler = self.handlers[_entries.STATE_KIND]
        handler(model.NodeId(name), _entries.EntryState(serving))


class Entry:
    """The directory of n1 with what it stands on."""

    def __init__(self) -> None:
        self.links = Links()
        self.clock = clocks.ManualClock(1_000)
        self.lifecycle = _lifecycle.Lifecycle(_metrics.Metrics())
        process = settings.ProcessSettings(
            model.NodeId("n1"), (*NODES, VOTER), shared_key_file=""
        )
        self.directory = _entries.EntryDirectory(
            process, self.lifecycle, self.links, self.clock
        )
        for name in ("n2", "n3", "n4"):
            self.links.say(name, serving=True)

    def listed(self, domain: model.FailureDomainId | None = None) -> list[str]:
        return [entry.address for entry in self.directory.addresses(domain)]


@pytest.fixture
def entry() -> Entry:
    return Entry()


@pytest.mark.parametrize(
    ("domain", "first", "then"),
    [
        pytest.param(D2, {"n3", "n4"}, {"n1", "n2"}, id="named"),
        pytest.param(None, {"n1", "n2"}, {"n3", "n4"}, id="own"),
    ],
)
def test_near_entries_come_first(
    entry: Entry,
    domain: model.FailureDomainId | None,
    first: set[str],
    then: set[str],
) -> None:
    listed = entry.listed(domain)
    assert (set(listed[:2]), set(listed[2:])) == (first, then)


def test_answers_begin_with_each_entry_in_turn(entry: Entry) -> None:
    begins = [entry.listed(D2)[0] for _ in range(8)]
    assert set(begins) == {"n3", "n4"}


def test_leaving_peer_is_not_listed(entry: Entry) -> None:
    entry.links.say("n3", serving=False)
    assert set(entry.listed()) == {"n1", "n2", "n4"}


def test_silent_peer_is_not_listed(entry: Entry) -> None:
    entry.clock.advance(_entries.STATE_LIFETIME_MS)
    entry.links.say("n4", serving=True)
    assert set(entry.listed()) == {"n1", "n4"}


def test_cut_off_peer_is_not_listed(entry: Entry) -> None:
    entry.links.up -= {model.NodeId("n2")}
    assert set(entry.listed()) == {"n1", "n3", "n4"}


def test_leaving_entry_tells_its_peers_and_lists_only_them(
    entry: Entry,
) -> None:
    entry.lifecycle.enter(_lifecycle.Phase.LEAVING)
    entry.directory.tell()
    assert {node_id for node_id, _ in entry.links.sent} == entry.links.up
    assert {body.serving for _, body in entry.links.sent} == {False}
    assert set(entry.listed()) == {"n2", "n3", "n4"}
