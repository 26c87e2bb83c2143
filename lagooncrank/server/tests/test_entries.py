import dataclasses
from typing import Any

import pytest
import pytest_asyncio

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank import settings
from lagooncrank.core import state
from lagooncrank.server import _entries
from lagooncrank.server import _interfaces
from lagooncrank.server import _lifecycle
from lagooncrank.server import _metrics
from lagooncrank.server import _readiness
from lagooncrank.server.tests import single_node

PUBLISH_INTERVAL_MS = int(_entries.STATE_INTERVAL_S * 1_000)
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


class FakeLinks:
    """Links to connected peers, whose messages a test injects."""

    def __init__(self) -> None:
        self.handlers: dict[str, _interfaces.PeerHandler] = {}
        self.sent: list[tuple[model.NodeId, Any]] = []
        self.connected_nodes = frozenset(n.node_id for n in NODES[1:])

    def send(self, node_id: model.NodeId, kind: str, body: Any) -> None:
        self.sent.append((node_id, body))

    def on_message(
        self, kind: str, body: type, handler: _interfaces.PeerHandler
    ) -> None:
        self.handlers[kind] = handler

    def connected(self) -> frozenset[model.NodeId]:
        return self.connected_nodes

    def receive_state(self, name: str, serving: bool) -> None:
        handler = self.handlers[_entries.STATE_KIND]
        handler(model.NodeId(name), _entries.EntryState(serving))


class DirectoryHarness:
    """The entry directory of n1 with the objects that it depends on."""

    def __init__(self) -> None:
        self.links = FakeLinks()
        self.clock = clocks.ManualClock(1_000)
        self.lifecycle = _lifecycle.Lifecycle(_metrics.Metrics())
        self.shared = single_node.SingleNodeState()
        self.observed_clock = observed_time.ObservedClock(self.clock)
        readiness = _readiness.Readiness(
            self.shared, self.clock, self.observed_clock
        )
        process = settings.ProcessSettings(
            model.NodeId("n1"), (*NODES, VOTER), shared_key_file=""
        )
        self.directory = _entries.EntryDirectory(
            process, self.lifecycle, readiness, self.links, self.clock
        )

    async def warm_up(self) -> None:
        declarations = model.Declarations()
        change = state.ApplyDeclarations("c", 0, declarations, "ann", 0)
        await self.shared.propose(change, 1_000)
        self.advance(2 * _readiness.WARM_UP_MS)
        for name in ("n2", "n3", "n4"):
            self.links.receive_state(name, serving=True)

    def advance(self, duration_ms: int) -> None:
        """Advances the clock; publishes the state at each interval."""
        for _ in range(0, duration_ms, PUBLISH_INTERVAL_MS):
            self.observe(PUBLISH_INTERVAL_MS)
            self.directory.publish_state()

    def observe(self, duration_ms: int) -> None:
        """Advances the clock of an entry that runs."""
        for _ in range(0, duration_ms, observed_time.TICK_MS):
            self.clock.advance(observed_time.TICK_MS)
            self.observed_clock.tick()

    def listed(self, domain: model.FailureDomainId | None = None) -> list[str]:
        return [entry.address for entry in self.directory.addresses(domain)]


@pytest_asyncio.fixture
async def entry() -> DirectoryHarness:
    warmed_up = DirectoryHarness()
    await warmed_up.warm_up()
    return warmed_up


@pytest.mark.parametrize(
    ("domain", "first", "last"),
    [
        pytest.param(D2, {"n3", "n4"}, {"n1", "n2"}, id="named"),
        pytest.param(None, {"n1", "n2"}, {"n3", "n4"}, id="own"),
    ],
)
def test_entries_of_the_failure_domain_come_first(
    entry: DirectoryHarness,
    domain: model.FailureDomainId | None,
    first: set[str],
    last: set[str],
) -> None:
    listed = entry.listed(domain)
    assert (set(listed[:2]), set(listed[2:])) == (first, last)


def test_successive_lists_start_with_different_entries(
    entry: DirectoryHarness,
) -> None:
    first_addresses = [entry.listed(D2)[0] for _ in range(8)]
    assert set(first_addresses) == {"n3", "n4"}


def test_leaving_peer_is_not_listed(entry: DirectoryHarness) -> None:
    entry.links.receive_state("n3", serving=False)
    assert set(entry.listed()) == {"n1", "n2", "n4"}


def test_unresponsive_peer_is_not_listed(entry: DirectoryHarness) -> None:
    entry.advance(_entries.STATE_LIFETIME_MS)
    entry.links.receive_state("n4", serving=True)
    assert set(entry.listed()) == {"n1", "n4"}


def test_disconnected_peer_is_not_listed(entry: DirectoryHarness) -> None:
    entry.links.connected_nodes -= {model.NodeId("n2")}
    assert set(entry.listed()) == {"n1", "n3", "n4"}


def test_leaving_entry_informs_its_peers_and_lists_only_them(
    entry: DirectoryHarness,
) -> None:
    entry.links.sent.clear()
    entry.lifecycle.enter(_lifecycle.Phase.LEAVING)
    entry.directory.publish_state()
    assert {
        node_id for node_id, _ in entry.links.sent
    } == entry.links.connected_nodes
    assert {body.serving for _, body in entry.links.sent} == {False}
    assert set(entry.listed()) == {"n2", "n3", "n4"}


def test_entry_without_its_lease_lists_only_the_others(
    entry: DirectoryHarness,
) -> None:
    entry.shared.has_quorum = False
    assert set(entry.listed()) == {"n2", "n3", "n4"}


@pytest.mark.parametrize("quorum", [True, False])
def test_refused_callers_are_referred_to_other_entries(
    entry: DirectoryHarness, quorum: bool
) -> None:
    entry.shared.has_quorum = quorum
    assert set(entry.directory.other_addresses()) == {"n2", "n3", "n4"}


def test_entry_is_listed_again_only_once_warmed_up(
    entry: DirectoryHarness,
) -> None:
    entry.shared.has_quorum = False
    entry.advance(PUBLISH_INTERVAL_MS)
    entry.shared.has_quorum = True
    entry.advance(_readiness.WARM_UP_MS)
    assert "n1" not in entry.listed()
    entry.advance(PUBLISH_INTERVAL_MS)
    assert "n1" in entry.listed()


def test_paused_entry_warms_up_again(entry: DirectoryHarness) -> None:
    entry.clock.advance(_readiness.WARM_UP_MS + observed_time.MAX_STEP_MS)
    assert "n1" in entry.listed()
    entry.observed_clock.tick()
    entry.clock.advance(_readiness.WARM_UP_MS + observed_time.MAX_STEP_MS + 1)
    assert "n1" not in entry.listed()


# Guards against an entry that takes rare checks for a pause of its own.
def test_entry_that_was_not_checked_is_listed(entry: DirectoryHarness) -> None:
    entry.observe(10 * _readiness.WARM_UP_MS)
    assert "n1" in entry.listed()


def test_entry_before_its_first_configuration_is_not_listed() -> None:
    entry = DirectoryHarness()
    entry.advance(2 * _readiness.WARM_UP_MS)
    entry.links.receive_state("n2", serving=True)
    assert entry.listed() == ["n2"]


def test_entry_without_serving_entries_lists_all_others() -> None:
    assert set(DirectoryHarness().listed()) == {"n2", "n3", "n4"}
