"""Consensus nodes with a manual clock and a network controlled by tests."""

import dataclasses
import random

from lagooncrank import clock
from lagooncrank import model
from lagooncrank.core import consensus

TICK_MS = 50


class Disk:
    """In-memory data folder; a crash loses unsynced writes."""

    def __init__(self, voter: consensus.Voter) -> None:
        self.voter = voter
        self.synced = consensus.DurableState()
        self.written = self.synced
        self.loses_syncs = False

    def write(self, output: consensus.Output) -> None:
        if output.hard_state is not None:
            self._set(hard_state=output.hard_state)
        if output.snapshot is not None:
            self._set(snapshot=output.snapshot, entries=())
        if output.entries:
            first = output.entries[0].index
            retained = [e for e in self.written.entries if e.index < first]
            self._set(entries=(*retained, *output.entries))

    def compact(self, snapshot: consensus.Snapshot) -> None:
        last = snapshot.last_index
        retained = tuple(e for e in self.written.entries if e.index > last)
        self._set(snapshot=snapshot, entries=retained)
        self.sync()

    def store_initial_voters(self, initial_voters: consensus.VoterSet) -> None:
        self._set(initial_voters=initial_voters)

    def sync(self) -> None:
        if not self.loses_syncs:
            self.synced = self.written

    def crash(self) -> None:
        self.written = self.synced

    def _set(self, **changes: object) -> None:
        self.written = dataclasses.replace(self.written, **changes)  # type: ignore[arg-type]


class Process:
    """One node with its disk and the entries that it applied."""

    def __init__(self, disk: Disk, rng: random.Random, now_ms: int) -> None:
        self.disk = disk
        self.node_id = disk.voter.node_id
        self._rng = rng
        self.paused = False
        self.start(now_ms)

    def start(self, now_ms: int) -> None:
        self.applied: list[consensus.Entry] = []
        self.reads: list[consensus.ReadResult] = []
        self.up = True
        durable = self.disk.synced
        self.snapshot_index = 0
        if durable.snapshot is not None:
            self.snapshot_index = durable.snapshot.last_index
        self.node = consensus.Node(
            self.disk.voter,
            consensus.Timing(),
            self._rng.random,
            durable,
            now_ms,
        )

    @property
    def is_running(self) -> bool:
        return self.up and not self.paused


@dataclasses.dataclass(frozen=True, slots=True)
class Packet:
    """A message in transit."""

    sender: model.NodeId
    to: model.NodeId
    message: consensus.Message


class NodeCluster:
    """Nodes "n0", "n1", ... and the messages in transit between them."""

    def __init__(self, size: int, seed: int, spares: int = 0) -> None:
        self.rng = random.Random(seed)
        self.clock = clock.ManualClock(start_ms=1_000)
        self.packets: list[Packet] = []
        self.blocked: set[tuple[model.NodeId, model.NodeId]] = set()
        self._proposal_count = 0
        self._disk_count = 0
        voters = tuple(self._voter(f"n{i}") for i in range(size))
        self.initial_voters = consensus.VoterSet(voters)
        self.processes = {v.node_id: self._process(v) for v in voters}
        for index in range(size, size + spares):
            self.processes[model.NodeId(f"n{index}")] = self._process(
                self._voter(f"n{index}"), is_uninitialized=True
            )

    def _voter(self, node_id: str) -> consensus.Voter:
        self._disk_count += 1
        return consensus.Voter(model.NodeId(node_id), f"disk{self._disk_count}")

    def _process(
        self, voter: consensus.Voter, *, is_uninitialized: bool = False
    ) -> Process:
        disk = Disk(voter)
        if not is_uninitialized:
            disk.synced = consensus.DurableState(
                initial_voters=self.initial_voters
            )
            disk.written = disk.synced
        return Process(disk, self.rng, self.clock.now_ms())

    def leaders(self) -> list[Process]:
        return [
            p
            for p in self.processes.values()
            if p.up and p.node.status.role is consensus.Role.LEADER
        ]

    def propose(self, process: Process, data: bytes) -> None:
        self._proposal_count += 1
        proposal = consensus.ProposalId(
            process.node_id, 1, self._proposal_count
        )
        process.node.propose(data, proposal, process.node.status.term)
        self.process_output(process)

    def process_output(
        self, process: Process, *, crash_before_sync: bool = False
    ) -> None:
        """Processes a node's output, or crashes it before the sync."""
        output = process.node.take_output(self.clock.now_ms())
        process.disk.write(output)
        if crash_before_sync:
            self.crash(process)
            return
        process.disk.sync()
        if output.snapshot is not None:
            process.applied = []
            process.snapshot_index = output.snapshot.last_index
        process.applied.extend(output.committed)
        process.reads.extend(output.reads)
        self.packets.extend(
            Packet(process.node_id, e.to, e.message) for e in output.messages
        )

    def deliver(self, position: int) -> None:
        """Delivers a message, unless its receiver is paused."""
        packet = self.packets[position]
        process = self.processes[packet.to]
        if process.paused and process.up:
            return
        del self.packets[position]
        if (packet.sender, packet.to) in self.blocked or not process.up:
            return
        process.node.receive(packet.message, self.clock.now_ms())
        self.process_output(process)

    def tick(self, process: Process) -> None:
        if process.is_running:
            process.node.tick(self.clock.now_ms())
            self.process_output(process)

    def run(self, duration_ms: int) -> None:
        """Advances the clock and delivers all messages in order."""
        for _ in range(0, duration_ms, TICK_MS):
            self.clock.advance(TICK_MS)
            for process in self.processes.values():
                self.tick(process)
            self.settle()

    def settle(self) -> None:
        """Delivers messages until none is left except to paused nodes."""
        for _ in range(10_000):
            ready = [
                i
                for i, p in enumerate(self.packets)
                if self.processes[p.to].is_running
                or not self.processes[p.to].up
            ]
            if not ready:
                return
            self.deliver(ready[0])

    def crash(self, process: Process) -> None:
        process.disk.crash()
        process.up = False

    def restart(self, process: Process) -> None:
        process.paused = False
        process.start(self.clock.now_ms())

    def replace_disk(self, process: Process) -> None:
        """Restarts a stopped node on an uninitialized disk."""
        process.disk = Disk(self._voter(process.node_id))
        self.restart(process)

    def block(self, sender: str, to: str) -> None:
        self.blocked.add((model.NodeId(sender), model.NodeId(to)))

    def isolate(self, process: Process) -> None:
        for other in self.processes:
            self.block(process.node_id, other)
            self.block(other, process.node_id)
