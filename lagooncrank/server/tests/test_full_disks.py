"""Voters whose disks are full for seconds, one after another.

A stand-in for the disk refuses each write below the folders of full disks.
Processes end and start again as they do on machines: `DiskWatch` ends one whose
disk takes writes again, and one that cannot open its folder ends at once.
"""

import asyncio
import dataclasses
import errno
import os
import pathlib
import random
from typing import Any
from typing import Final

import pytest

from lagooncrank.core import state
from lagooncrank.server import _shared_state
from lagooncrank.server import storage
from lagooncrank.server.seeded import _disk_watch
from lagooncrank.server.tests import test_shared_state

VOTERS: Final = ("v1", "v2", "v3")
STEP_MS: Final = test_shared_state.STEP_MS
#: From the end of a process to the end of the next one's start.
RESTART_MS: Final = 2_000
CALM_MS: Final = 4_000
#: Time after the last disk has room within which changes are in force again: a
#: restart and an election.
RECOVERY_MS: Final = 6_000
PROPOSAL_TIMEOUT_MS: Final = 900
DOCUMENT: Final = b"{}"
#: As much as makes a log file long enough for a snapshot, in some tests.
LARGE_DOCUMENT: Final = bytes(2_000)


class Disks:
    """Refuses writes below the folders of full disks."""

    def __init__(
        self, folder: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self._folder = folder
        self.full: set[str] = set()
        self.refused = 0
        self._write = os.write
        self._open = os.open
        monkeypatch.setattr(os, "write", self._checked_write)
        monkeypatch.setattr(os, "open", self._checked_open)

    def _checked_write(self, fd: int, content: Any) -> int:
        path = os.readlink(f"/proc/self/fd/{fd}")
        self._check(path)
        return self._write(fd, content)

    def _checked_open(self, path: Any, flags: int, *rest: Any) -> int:
        if flags & os.O_CREAT and not os.path.exists(path):
            self._check(str(path))
        return self._open(path, flags, *rest)

    def _check(self, path: str) -> None:
        if any(path.startswith(f"{self._folder / n}/") for n in self.full):
            self.refused += 1
            raise OSError(errno.ENOSPC, "No space left on device")


class Machines:
    """Three voters and an entry, whose processes start again when they end."""

    def __init__(
        self, folder: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self.disks = Disks(folder, monkeypatch)
        self._folder = folder
        self.cluster = test_shared_state.Cluster(folder)
        #: When each process that has ended starts again.
        self._starts_ms: dict[str, int] = {}
        self.ends = 0
        self.acknowledged = 0
        self._version = 0
        self._proposals: set[asyncio.Task[None]] = set()

    async def run(self, duration_ms: int, *, document: bytes = b"") -> None:
        """Lets time pass; sends a document every 200 ms if one is given."""
        for passed_ms in range(0, duration_ms, STEP_MS):
            if document and passed_ms % 200 == 0:
                self.propose(document)
            await self.cluster.run(STEP_MS)
            await self._end_and_start()

    def propose(self, document: bytes) -> None:
        """Sends the next document to the entry."""
        self._version += 1
        task = asyncio.ensure_future(self._propose(self._version, document))
        self._proposals.add(task)
        task.add_done_callback(self._proposals.discard)

    async def _propose(self, version: int, document: bytes) -> None:
        outcome = await self.cluster.nodes["e1"].propose(
            state.PutDocument(version, document), PROPOSAL_TIMEOUT_MS
        )
        if outcome.ok:
            self.acknowledged = max(self.acknowledged, version)

    async def _end_and_start(self) -> None:
        now_ms = self.cluster.clock.now_ms()
        for name in VOTERS:
            node = self.cluster.nodes.get(name)
            if node is None:
                if now_ms >= self._starts_ms[name]:
                    self._start(name, now_ms)
                continue
            watch = _disk_watch.DiskWatch(node, str(self._folder / name))
            try:
                watch.check()
            except _disk_watch.RestartNeededError:
                await self.end(name)

    async def end(self, name: str) -> None:
        """Ends a process, which starts again."""
        self.ends += 1
        await self.cluster.stop(name)
        self._starts_ms[name] = self.cluster.clock.now_ms() + RESTART_MS

    def _start(self, name: str, now_ms: int) -> None:
        self.cluster.network.cut_off.discard(name)
        try:
            self.cluster.start(name)
        except storage.StorageError:
            self.cluster.nodes.pop(name, None)
            self._starts_ms[name] = now_ms + RESTART_MS

    async def check(self) -> None:
        """Checks that changes are in force everywhere, and none is lost."""
        self.disks.full.clear()
        await self.run(RECOVERY_MS)
        before = self.acknowledged
        self.propose(DOCUMENT)
        await self.run(PROPOSAL_TIMEOUT_MS)
        assert self.acknowledged == self._version
        assert self.acknowledged > before
        await self.run(STEP_MS)
        for name in (*VOTERS, "e1"):
            document = self.cluster.nodes[name].view.document
            assert document is not None
            assert document.version == self.acknowledged, name

    async def stop(self) -> None:
        """Ends all processes."""
        for task in self._proposals:
            task.cancel()
        for name in list(self.cluster.nodes):
            await self.cluster.stop(name)


@dataclasses.dataclass(frozen=True, slots=True)
class Fill:
    """A time for which the disk of one voter is full."""

    #: Name of the voter, or "leader".
    voter: str
    full_ms: int
    #: From its end to the next one.
    pause_ms: int = 0


async def play(machines: Machines, fills: list[Fill], document: bytes) -> None:
    """Fills disks one after another, never two at once, amid changes."""
    await machines.run(CALM_MS)
    for fill in fills:
        name = fill.voter
        if name == "leader":
            leading = (
                n for n, s in machines.cluster.nodes.items() if s.is_leader
            )
            name = next(leading, VOTERS[0])
        machines.disks.full = {name}
        await machines.run(fill.full_ms, document=document)
        machines.disks.full = set()
        await machines.run(fill.pause_ms, document=document)


SERIES: Final = {
    "one-by-one": [Fill(name, 2_000, 5_000) for name in VOTERS],
    "without-a-pause": [Fill(name, 2_000) for name in VOTERS],
    "second-while-the-first-starts": [Fill("v1", 1_000), Fill("v2", 1_000)],
    "full-again-at-once": [Fill("v1", 500, 50) for _ in range(6)],
    "full-again-while-it-starts": [
        Fill("v1", 500, 300),
        Fill("v1", 2_500, 300),
        Fill("v1", 2_500, 300),
    ],
    "leader-by-leader": [Fill("leader", 1_000, 1_500) for _ in range(6)],
    "leader-by-leader-without-a-pause": [Fill("leader", 700) for _ in range(6)],
    "all-for-long": [Fill(name, 9_000) for name in VOTERS],
}


# Guards against: long after the last of several disks had room again, changes
# were refused or stayed unanswered.
@pytest.mark.parametrize("fills", SERIES.values(), ids=SERIES)
@pytest.mark.parametrize("document", [DOCUMENT, LARGE_DOCUMENT])
async def test_changes_are_in_force_after_a_series_of_full_disks(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    fills: list[Fill],
    document: bytes,
) -> None:
    # Every few changes a snapshot is written.
    monkeypatch.setattr(_shared_state, "MIN_LOG_BYTES", 16_000)
    machines = Machines(tmp_path, monkeypatch)
    try:
        await play(machines, fills, document)
        assert machines.disks.refused
        assert machines.ends
        await machines.check()
    finally:
        await machines.stop()


@pytest.mark.parametrize("seed", range(24))
async def test_changes_are_in_force_after_any_series_of_full_disks(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    chance = random.Random(seed)
    monkeypatch.setattr(_shared_state, "MIN_LOG_BYTES", 16_000)
    fills = [
        Fill(
            chance.choice([*VOTERS, "leader", "leader"]),
            chance.randrange(100, 4_000, STEP_MS),
            chance.choice([0, chance.randrange(0, 3_000, STEP_MS)]),
        )
        for _ in range(chance.randrange(2, 9))
    ]
    machines = Machines(tmp_path, monkeypatch)
    try:
        await play(machines, fills, chance.choice([DOCUMENT, LARGE_DOCUMENT]))
        await machines.check()
    finally:
        await machines.stop()


async def test_voter_whose_disk_is_full_at_its_start_comes_back(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    machines = Machines(tmp_path, monkeypatch)
    try:
        await machines.run(CALM_MS, document=DOCUMENT)
        machines.disks.full = {"v2"}
        await machines.end("v2")
        await machines.run(3 * RESTART_MS, document=DOCUMENT)
        await machines.check()
    finally:
        await machines.stop()
