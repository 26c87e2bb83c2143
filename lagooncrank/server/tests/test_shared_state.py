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


class Network:
    """Passes messages between services through the loop."""

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, str], _interfaces.PeerHandler] = {}
        self.cut_off: set[str] = set()

    def send(self, sender: str, to: str, kind: str, body: Any) -> None:
        handler = self.handlers.get((to, kind))
        if handler is not None and not self.cut_off & {sender, to}:
            data = model.to_cbor(body)
            again = model.from_cbor(data, type(body))
            loop = asyncio.get_running_loop()
            loop.call_soon(handler, model.NodeId(sender), again)


class Links:
    """Implements `PeerLinks` over a `Network`."""

    def __init__(self, network: Network, own: str) -> None:
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


class System:
    """Three voters with disks and one entry without, on a manual clock."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.clock = clock.ManualClock(start_ms=1_000)
        self.network = Network()
        self._folder = folder
        self._starts = 0
        self.nodes: dict[str, _shared_state.ReplicatedState] = {}
        for name in ("v1", "v2", "v3", "e1"):
            self.start(name)

    def start(self, name: str) -> None:
        self._starts += 1
        node_id = model.NodeId(name)
        setup = _participant_config.build(self._settings(node_id), self._starts)
        store = None
        if name.startswith("v"):
            store = storage.Storage.open(self._folder / name, node_id)
        self.nodes[name] = _shared_state.ReplicatedState(
            setup,
            Links(self.network, name),
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

    async def during(self, awaitable: Awaitable[T]) -> T:
        """Returns a result while time passes."""
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
def closing(system: System) -> Iterator[System]:
    try:
        yield system
    finally:
        for node in system.nodes.values():
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
    with closing(System(tmp_path)) as system:
        await system.run(4_000)
        node = system.nodes[proposer]
        outcome = await system.during(node.propose(change("c", 0), TIMEOUT_MS))
        assert outcome.ok
        assert node.view.configuration is not None
        await system.run(STEP_MS)
        assert {system.revision(n) for n in system.nodes} == {1}
        assert all(n.lease_holds() for n in system.nodes.values())


async def test_same_base_revision_twice_accepts_one(
    tmp_path: pathlib.Path,
) -> None:
    with closing(System(tmp_path)) as system:
        await system.run(4_000)
        both = asyncio.gather(
            system.nodes["v1"].propose(change("a", 0), TIMEOUT_MS),
            system.nodes["e1"].propose(change("b", 0), TIMEOUT_MS),
        )
        codes = sorted(o.code for o in await system.during(both))
        assert codes == [
            results.ResultCode.OK,
            results.ResultCode.REVISION_CONFLICT,
        ]


async def test_restarted_nodes_hold_what_was_accepted(
    tmp_path: pathlib.Path,
) -> None:
    with closing(System(tmp_path)) as system:
        await system.run(4_000)
        proposal = system.nodes["e1"].propose(change("c", 0), TIMEOUT_MS)
        assert (await system.during(proposal)).ok
        for name in list(system.nodes):
            await system.stop(name)
        system.network.cut_off.clear()
        for name in ("v1", "v2", "v3", "e1"):
            system.start(name)
        await system.run(4_000)
        assert {system.revision(n) for n in system.nodes} == {1}


async def test_without_quorum_nothing_commits_and_leases_end(
    tmp_path: pathlib.Path,
) -> None:
    with closing(System(tmp_path)) as system:
        await system.run(4_000)
        entry = system.nodes["e1"]
        system.network.cut_off = {"v1", "v2", "v3"}
        lost = await system.during(entry.propose(change("c", 0), TIMEOUT_MS))
        assert lost.code is results.ResultCode.PROPOSAL_LOST
        await system.run(model.LeaseRules().configuration_ms)
        assert not any(n.lease_holds() for n in system.nodes.values())
        refused = await system.during(
            system.nodes["v1"].propose(change("d", 0), TIMEOUT_MS)
        )
        assert refused.code is results.ResultCode.NO_QUORUM
        system.network.cut_off.clear()
        await system.run(4_000)
        assert all(n.lease_holds() for n in system.nodes.values())


async def test_proposal_survives_the_loss_of_its_leader(
    tmp_path: pathlib.Path,
) -> None:
    with closing(System(tmp_path)) as system:
        await system.run(4_000)
        leader = system.leader
        system.network.cut_off.add(leader)
        outcome = await system.during(
            system.nodes["e1"].propose(change("c", 0), 6_000)
        )
        assert outcome.ok
        assert system.leader != leader


async def test_confirmed_read_sees_what_was_committed_before(
    tmp_path: pathlib.Path,
) -> None:
    with closing(System(tmp_path)) as system:
        await system.run(4_000)
        system.network.cut_off.add("e1")
        proposal = system.nodes["v1"].propose(change("c", 0), TIMEOUT_MS)
        assert (await system.during(proposal)).ok
        assert system.revision("e1") == 0
        system.network.cut_off.clear()
        read = system.nodes["e1"].confirm_read(TIMEOUT_MS)
        assert await system.during(read)
        assert system.revision("e1") == 1


async def test_entry_that_missed_hundreds_of_changes_is_sent_the_state(
    tmp_path: pathlib.Path,
) -> None:
    with closing(System(tmp_path)) as system:
        await system.run(4_000)
        system.network.cut_off.add("e1")
        entry = system.nodes["e1"]
        view = entry.view
        told: list[state.Command] = []
        entry.on_applied(lambda command, _: told.append(command))
        changed = system.nodes["v1"].propose(change("c", 0), TIMEOUT_MS)
        assert (await system.during(changed)).ok
        crash_records = [
            state.RecordContentCrash(b"%d" % n, "victim", 1, 10_000_000)
            for n in range(1_100)
        ]
        node = system.nodes["v1"]
        await system.during(
            asyncio.gather(
                *(node.propose(m, TIMEOUT_MS) for m in crash_records)
            )
        )
        system.network.cut_off.clear()
        await system.run(1_000)
        assert view.crash_records == node.view.crash_records
        assert view.applied_index == node.view.applied_index
        assert change("c", 0) in told


async def test_long_log_is_replaced_by_a_snapshot(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with closing(System(tmp_path)) as system:
        await system.run(4_000)
        monkeypatch.setattr(_shared_state, "MIN_LOG_BYTES", 4_000)
        for revision in range(30):
            proposal = system.nodes["v1"].propose(
                change(f"c{revision}", revision), TIMEOUT_MS
            )
            assert (await system.during(proposal)).ok
        assert list((tmp_path / "v1").glob("snapshot-*"))
        await system.stop("v1")
        system.network.cut_off.clear()
        system.start("v1")
        assert system.revision("v1") > 0
        await system.run(2_000)
        assert system.revision("v1") == 30


async def test_failed_disk_stops_the_voter_without_an_answer(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with closing(System(tmp_path)) as system:
        await system.run(4_000)
        leader = system.nodes[system.leader]

        def full(file: int) -> None:
            raise OSError(errno.ENOSPC, "No space left on device")

        with monkeypatch.context() as patch:
            patch.setattr(os, "fdatasync", full)
            outcome = await system.during(
                leader.propose(change("c", 0), TIMEOUT_MS)
            )
        assert outcome.code is results.ResultCode.PROPOSAL_LOST
        assert leader.failure is not None
        assert "No space left" in leader.failure.reason
        assert not leader.view.history()


async def test_replaced_disk_is_brought_back_as_a_voter(
    tmp_path: pathlib.Path,
) -> None:
    with closing(System(tmp_path)) as system:
        await system.run(4_000)
        proposal = system.nodes["v1"].propose(change("c", 0), TIMEOUT_MS)
        assert (await system.during(proposal)).ok
        name = next(n for n in ("v1", "v2", "v3") if n != system.leader)
        await system.stop(name)
        (tmp_path / name).rename(tmp_path / "broken")
        system.start(name)
        await system.run(200)
        assert system.revision(name) == 0
        system.network.cut_off.clear()
        await system.run(6_000)
        assert system.revision(name) == 1
        store = system.nodes[name]._store
        assert store is not None
        voters = system.nodes[name]._participant.voters
        assert voters is not None
        assert store.voter in voters.voters
        assert len(voters.voters) == 3
