import asyncio
from collections.abc import Awaitable
from collections.abc import Iterator
import contextlib
import errno
import os
import pathlib
import random
from typing import Any
from typing import TypeVar

import pytest

from lagooncrank import clock
from lagooncrank import model
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.core import state
from lagooncrank.server import _interfaces
from lagooncrank.server import _participant_config
from lagooncrank.server import _shared_state
from lagooncrank.server import storage

T = TypeVar("T")
STEP_MS = 50
TIMEOUT_MS = 3_000


class FakeNetwork:
    """Delivers messages between services through the event loop."""

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, str], _interfaces.PeerHandler] = {}
        self.cut_off: set[str] = set()

    def send(self, sender: str, to: str, kind: str, body: Any) -> None:
        handler = self.handlers.get((to, kind))
        if handler is not None and not self.cut_off & {sender, to}:
            data = model.to_cbor(body)
            decoded = model.from_cbor(data, type(body))
            loop = asyncio.get_running_loop()
            loop.call_soon(handler, model.NodeId(sender), decoded)


class FakeLinks:
    """Implements `PeerLinks` over a `FakeNetwork`."""

    def __init__(self, network: FakeNetwork, own: str) -> None:
        self._network = network
        self._own = own

    def send(self, node_id: model.NodeId, kind: str, body: Any) -> None:
        self._network.send(self._own, node_id, kind, body)

    def on_message(
        self, kind: str, body: type, handler: _interfaces.PeerHandler
    ) -> None:
        self._network.handlers[self._own, kind] = handler

    def connected(self) -> frozenset[model.NodeId]:
        return frozenset()


class Cluster:
    """Three voters with disks and an entry without one, on a manual clock."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.clock = clock.ManualClock(start_ms=1_000)
        self.network = FakeNetwork()
        self._folder = folder
        self._starts = 0
        self.nodes: dict[str, _shared_state.ReplicatedState] = {}
        for name in ("v1", "v2", "v3", "e1"):
            self.start(name)

    def start(self, name: str) -> None:
        self._starts += 1
        node_id = model.NodeId(name)
        config = _participant_config.build(
            self._settings(node_id), self._starts
        )
        store = None
        if name.startswith("v"):
            store = storage.Storage.open(self._folder / name, node_id)
        self.nodes[name] = _shared_state.ReplicatedState(
            config,
            FakeLinks(self.network, name),
            self.clock,
            store,
            random.Random(self._starts).random,
        )

    async def stop(self, name: str) -> None:
        self.network.cut_off.add(name)
        await self.nodes.pop(name).on_stop()

    def _settings(self, node_id: model.NodeId) -> settings.ProcessSettings:
        names = ("v1", "v2", "v3", "e1")
        nodes = tuple(
            settings.PeerSettings(
                model.NodeId(n),
                "127.0.0.1:0",
                "127.0.0.1:0",
                model.FailureDomainId("fd"),
                (settings.Role.ENTRY, settings.Role.CONTROL)
                if n.startswith("v")
                else (settings.Role.ENTRY,),
            )
            for n in names
        )
        return settings.ProcessSettings(node_id, nodes, "unused")

    async def run(self, duration_ms: int) -> None:
        for _ in range(0, duration_ms, STEP_MS):
            self.clock.advance(STEP_MS)
            for node in list(self.nodes.values()):
                node.tick()
            for _ in range(12):
                await asyncio.sleep(0)

    async def run_until_done(self, awaitable: Awaitable[T]) -> T:
        """Advances the time until an awaitable is done; returns its result."""
        task = asyncio.ensure_future(awaitable)
        for _ in range(200):
            if task.done():
                break
            await self.run(STEP_MS)
        return await task

    @property
    def leader(self) -> str:
        (name,) = (n for n, s in self.nodes.items() if s.is_leader)
        return name

    def revision(self, name: str) -> int:
        configuration = self.nodes[name].view.configuration
        return configuration.revision if configuration else 0


@contextlib.contextmanager
def closing(cluster: Cluster) -> Iterator[Cluster]:
    try:
        yield cluster
    finally:
        for node in cluster.nodes.values():
            if node._store is not None:
                node._store.close()


def change(change_id: str, base_revision: int) -> state.ApplyDeclarations:
    return state.ApplyDeclarations(
        change_id, base_revision, model.Declarations(), "ann", 1
    )


@pytest.mark.parametrize("proposer", ["v1", "v2", "v3", "e1"])
async def test_change_proposed_anywhere_is_in_force_everywhere(
    tmp_path: pathlib.Path, proposer: str
) -> None:
    with closing(Cluster(tmp_path)) as cluster:
        await cluster.run(4_000)
        node = cluster.nodes[proposer]
        outcome = await cluster.run_until_done(
            node.propose(change("c", 0), TIMEOUT_MS)
        )
        assert outcome.ok
        assert node.view.configuration is not None
        await cluster.run(STEP_MS)
        assert {cluster.revision(n) for n in cluster.nodes} == {1}
        assert all(n.lease_holds() for n in cluster.nodes.values())


async def test_one_of_two_changes_to_the_same_revision_is_accepted(
    tmp_path: pathlib.Path,
) -> None:
    with closing(Cluster(tmp_path)) as cluster:
        await cluster.run(4_000)
        both = asyncio.gather(
            cluster.nodes["v1"].propose(change("a", 0), TIMEOUT_MS),
            cluster.nodes["e1"].propose(change("b", 0), TIMEOUT_MS),
        )
        codes = sorted(o.code for o in await cluster.run_until_done(both))
        assert codes == [
            results.ResultCode.OK,
            results.ResultCode.REVISION_CONFLICT,
        ]


async def test_restarted_nodes_keep_accepted_changes(
    tmp_path: pathlib.Path,
) -> None:
    with closing(Cluster(tmp_path)) as cluster:
        await cluster.run(4_000)
        proposal = cluster.nodes["e1"].propose(change("c", 0), TIMEOUT_MS)
        assert (await cluster.run_until_done(proposal)).ok
        for name in list(cluster.nodes):
            await cluster.stop(name)
        cluster.network.cut_off.clear()
        for name in ("v1", "v2", "v3", "e1"):
            cluster.start(name)
        await cluster.run(4_000)
        assert {cluster.revision(n) for n in cluster.nodes} == {1}


async def test_without_quorum_nothing_commits_and_leases_expire(
    tmp_path: pathlib.Path,
) -> None:
    with closing(Cluster(tmp_path)) as cluster:
        await cluster.run(4_000)
        entry = cluster.nodes["e1"]
        cluster.network.cut_off = {"v1", "v2", "v3"}
        lost = await cluster.run_until_done(
            entry.propose(change("c", 0), TIMEOUT_MS)
        )
        assert lost.code is results.ResultCode.PROPOSAL_LOST
        await cluster.run(model.LeaseRules().configuration_ms)
        assert not any(n.lease_holds() for n in cluster.nodes.values())
        refused = await cluster.run_until_done(
            cluster.nodes["v1"].propose(change("d", 0), TIMEOUT_MS)
        )
        assert refused.code is results.ResultCode.NO_QUORUM
        cluster.network.cut_off.clear()
        await cluster.run(4_000)
        assert all(n.lease_holds() for n in cluster.nodes.values())


async def test_proposal_survives_the_loss_of_its_leader(
    tmp_path: pathlib.Path,
) -> None:
    with closing(Cluster(tmp_path)) as cluster:
        await cluster.run(4_000)
        leader = cluster.leader
        cluster.network.cut_off.add(leader)
        outcome = await cluster.run_until_done(
            cluster.nodes["e1"].propose(change("c", 0), 6_000)
        )
        assert outcome.ok
        assert cluster.leader != leader


async def test_confirmed_read_sees_earlier_commits(
    tmp_path: pathlib.Path,
) -> None:
    with closing(Cluster(tmp_path)) as cluster:
        await cluster.run(4_000)
        cluster.network.cut_off.add("e1")
        proposal = cluster.nodes["v1"].propose(change("c", 0), TIMEOUT_MS)
        assert (await cluster.run_until_done(proposal)).ok
        assert cluster.revision("e1") == 0
        cluster.network.cut_off.clear()
        read = cluster.nodes["e1"].confirm_read(TIMEOUT_MS)
        assert await cluster.run_until_done(read)
        assert cluster.revision("e1") == 1


async def test_entry_that_missed_hundreds_of_changes_receives_a_snapshot(
    tmp_path: pathlib.Path,
) -> None:
    with closing(Cluster(tmp_path)) as cluster:
        await cluster.run(4_000)
        cluster.network.cut_off.add("e1")
        entry = cluster.nodes["e1"]
        view = entry.view
        reported: list[state.Command] = []
        entry.on_applied(lambda command, _: reported.append(command))
        changed = cluster.nodes["v1"].propose(change("c", 0), TIMEOUT_MS)
        assert (await cluster.run_until_done(changed)).ok
        crash_records = [
            state.RecordContentCrash(b"%d" % n, "r1@1", 1, 10_000_000)
            for n in range(1_100)
        ]
        node = cluster.nodes["v1"]
        await cluster.run_until_done(
            asyncio.gather(
                *(node.propose(record, TIMEOUT_MS) for record in crash_records)
            )
        )
        cluster.network.cut_off.clear()
        await cluster.run(1_000)
        assert view.crash_records == node.view.crash_records
        assert view.applied_index == node.view.applied_index
        assert change("c", 0) in reported


async def test_long_log_is_replaced_by_a_snapshot(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with closing(Cluster(tmp_path)) as cluster:
        await cluster.run(4_000)
        monkeypatch.setattr(_shared_state, "MIN_LOG_BYTES", 4_000)
        for revision in range(30):
            proposal = cluster.nodes["v1"].propose(
                change(f"c{revision}", revision), TIMEOUT_MS
            )
            assert (await cluster.run_until_done(proposal)).ok
        assert list((tmp_path / "v1").glob("snapshot-*"))
        await cluster.stop("v1")
        cluster.network.cut_off.clear()
        cluster.start("v1")
        assert cluster.revision("v1") > 0
        await cluster.run(2_000)
        assert cluster.revision("v1") == 30


async def test_disk_failure_stops_the_voter_and_loses_the_proposal(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with closing(Cluster(tmp_path)) as cluster:
        await cluster.run(4_000)
        leader = cluster.nodes[cluster.leader]

        def fail_sync(file: int) -> None:
            raise OSError(errno.ENOSPC, "No space left on device")

        with monkeypatch.context() as patch:
            patch.setattr(os, "fdatasync", fail_sync)
            outcome = await cluster.run_until_done(
                leader.propose(change("c", 0), TIMEOUT_MS)
            )
        assert outcome.code is results.ResultCode.PROPOSAL_LOST
        assert leader.failure is not None
        assert "No space left" in leader.failure.reason
        assert leader.has_failed_to_write
        assert not leader.view.history()


async def test_node_with_a_replaced_disk_becomes_a_voter_again(
    tmp_path: pathlib.Path,
) -> None:
    with closing(Cluster(tmp_path)) as cluster:
        await cluster.run(4_000)
        proposal = cluster.nodes["v1"].propose(change("c", 0), TIMEOUT_MS)
        assert (await cluster.run_until_done(proposal)).ok
        name = next(n for n in ("v1", "v2", "v3") if n != cluster.leader)
        await cluster.stop(name)
        (tmp_path / name).rename(tmp_path / "broken")
        cluster.start(name)
        await cluster.run(200)
        assert cluster.revision(name) == 0
        cluster.network.cut_off.clear()
        await cluster.run(6_000)
        assert cluster.revision(name) == 1
        store = cluster.nodes[name]._store
        assert store is not None
        voters = cluster.nodes[name]._participant.voters
        assert voters is not None
        assert store.voter in voters.voters
        assert len(voters.voters) == 3


async def test_leader_that_stops_hands_its_lead_over(
    tmp_path: pathlib.Path,
) -> None:
    with closing(Cluster(tmp_path)) as cluster:
        await cluster.run(4_000)
        leader = cluster.leader
        await cluster.run_until_done(cluster.nodes[leader].hand_over())
        assert not cluster.nodes[leader].is_leader
        await cluster.run(2 * STEP_MS)
        assert cluster.leader != leader


# Guards against: a node whose component crashed waits for ever in its stop, as
# no timer of it runs any more.
async def test_hand_over_ends_without_timers(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_shared_state, "MAX_HAND_OVER_S", 0.01)
    with closing(Cluster(tmp_path)) as cluster:
        await cluster.run(4_000)
        cluster.network.cut_off.add(cluster.leader)
        await cluster.nodes[cluster.leader].hand_over()
