"""Participants with disks, clocks and a network that can all fail."""

import dataclasses
import random
from typing import Any

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import consensus
from lagooncrank.core import state
from lagooncrank.core.consensus.tests import booking
from lagooncrank.core.consensus.tests import cluster

STEP_MS = 50
PROPOSAL_TIMEOUT_MS = 2_000
#: Hosts that book within one period use the same key.
KEY_PERIOD_MS = 1_500


@dataclasses.dataclass(slots=True)
class Weather:
    """How the network treats messages."""

    loss: float = 0.0
    duplication: float = 0.0
    max_delay_ms: int = 0


CALM = Weather()
ROUGH = Weather(loss=0.15, duplication=0.1, max_delay_ms=600)


class Applier:
    """State machine of one host, with a trace of what was applied."""

    def __init__(self) -> None:
        self.machine = state.StateMachine()
        self.trace: list[consensus.Entry] = []
        self.listeners: list[Any] = []

    def apply(self, entry: consensus.Entry) -> state.Outcome:
        command: state.Command = state.NoOp()
        if entry.data:
            command = state.decode_command(entry.data)
        self.trace.append(entry)
        outcome = self.machine.apply(entry.index, command)
        for listener in self.listeners:
            listener(command, outcome)
        return outcome

    def snapshot(self) -> bytes:
        return self.machine.snapshot()

    def restore(self, data: bytes) -> None:
        self.machine.restore(data)

    @property
    def revision(self) -> int:
        record = self.machine.configuration
        return record.revision if record else 0


class Host:
    """One process: participant, disk, and the calls that it owns."""

    def __init__(
        self, world: "World", node_id: model.NodeId, disk: cluster.Disk | None
    ) -> None:
        self.world = world
        self.node_id = node_id
        self.disk = disk
        self.clock_offset_ms = world.rng.randrange(1_000_000)
        self.paused = False
        self.incarnation = 0
        self.start()

    def start(self) -> None:
        self.incarnation += 1
        self.up = True
        self.paused = False
        self.applier = Applier()
        self.calls = booking.Calls(self)
        self.applier.listeners.append(self.calls.on_applied)
        self.reads: dict[int, int] = {}
        durable = consensus.DurableState()
        self.node: consensus.Node | None = None
        voter = None
        if self.disk is not None:
            durable = self.disk.synced
            voter = self.disk.voter
            self.node = self.world.new_node(voter, durable, self.now_ms)
        setup = consensus.ParticipantConfig(
            self.node_id,
            self.incarnation,
            self.world.voter_ids,
            tuple(v for v in self.world.voter_ids if v != self.node_id),
            frozenset(self.world.all_ids),
            may_bootstrap=self.node_id in self.world.voter_ids,
            target_voter_count=self.world.target_voter_count,
        )
        self.participant = consensus.Participant(
            setup, self.node, voter, self.applier, durable
        )
        self._numbers = 0

    @property
    def now_ms(self) -> int:
        return self.world.now_ms + self.clock_offset_ms

    @property
    def runs(self) -> bool:
        return self.up and not self.paused

    def tick(self) -> None:
        self.participant.tick(self.now_ms)
        self.pump()

    def receive(self, sender: model.NodeId, body: Any) -> None:
        self.participant.receive(sender, body, self.now_ms)
        self.pump()

    def propose(self, command: state.Command) -> consensus.ProposalId:
        self._numbers += 1
        proposal = consensus.ProposalId(
            self.node_id, self.incarnation, self._numbers
        )
        deadline_ms = self.now_ms + PROPOSAL_TIMEOUT_MS
        data = state.encode_command(command)
        self.participant.propose(proposal, data, deadline_ms)
        return proposal

    def read(self) -> None:
        self._numbers += 1
        self.reads[self._numbers] = self.world.acknowledged_revision
        self.participant.read(self._numbers, self.now_ms)

    def pump(self, crash: str = "") -> None:
        """Carries out work; `crash` names the point at which to stop."""
        pending_output = self.participant.pending_output(self.now_ms)
        if self.disk is not None:
            if pending_output.initial_voters is not None:
                self.disk.adopt(pending_output.initial_voters)
            if pending_output.output is not None:
                self.disk.write(pending_output.output)
            if crash == "before_sync":
                self.crash()
                return
            self.disk.sync()
        if crash:
            self.crash()
            return
        result = self.participant.complete(pending_output, self.now_ms)
        for message in result.messages:
            self.world.send(self.node_id, message)
        for settled in result.settled:
            if settled.code is results.ResultCode.NO_QUORUM:
                self.world.refused.add(settled.proposal)
            self.calls.on_settled(settled)
        for read_id in result.reads:
            wanted = self.reads.pop(read_id)
            assert self.applier.revision >= wanted, "a confirmed read is stale"

    def compact(self) -> None:
        snapshot = self.participant.compact()
        if snapshot is not None and self.disk is not None:
            self.disk.compact(snapshot)

    def crash(self) -> None:
        self.up = False
        if self.disk is not None:
            self.disk.crash()


@dataclasses.dataclass(frozen=True, slots=True)
class Packet:
    """A message under way."""

    due_ms: int
    sender: model.NodeId
    to: model.NodeId
    body: Any


class World:
    """Three voters and one follower without a disk."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.weather = CALM
        #: Whether hosts book calls, change the configuration and read.
        self.is_used = True
        #: Number of voters to keep; None keeps exactly `voter_ids`.
        self.target_voter_count: int | None = None
        self.blocked: set[tuple[model.NodeId, model.NodeId]] = set()
        self.packets: list[Packet] = []
        self.voter_ids = tuple(model.NodeId(f"v{i}") for i in range(3))
        self.all_ids = (*self.voter_ids, model.NodeId("e0"))
        #: Highest revision that any proposer was told is accepted.
        self.acknowledged_revision = 0
        #: Owners that wrote to a backend server, by key.
        self.sent: dict[state.CallKey, list[state.CallOwner]] = {}
        #: Owners that told their caller that nothing ran.
        self.told_not_run: set[state.CallOwner] = set()
        #: Proposals that were told never to take effect.
        self.refused: set[consensus.ProposalId] = set()
        self._disks = 0
        self.hosts = {
            n: Host(self, n, self.new_disk(n) if n != "e0" else None)
            for n in self.all_ids
        }

    def new_disk(self, node_id: model.NodeId) -> cluster.Disk:
        self._disks += 1
        return cluster.Disk(consensus.Voter(node_id, f"disk{self._disks}"))

    def new_node(
        self,
        voter: consensus.Voter,
        durable: consensus.DurableState,
        now_ms: int,
    ) -> consensus.Node:
        timing = consensus.Timing()
        return consensus.Node(voter, timing, self.rng.random, durable, now_ms)

    def send(
        self, sender: model.NodeId, message: consensus.OutgoingMessage
    ) -> None:
        if self.rng.random() < self.weather.loss:
            return
        copies = 1 + (self.rng.random() < self.weather.duplication)
        # Links never repeat a message; only consensus must bear that.
        if not isinstance(message.body, consensus.NODE_MESSAGES):
            copies = 1
        for _ in range(copies):
            delay_ms = self.rng.randint(0, self.weather.max_delay_ms)
            due_ms = self.now_ms + delay_ms
            self.packets.append(
                Packet(due_ms, sender, message.to, message.body)
            )

    def run(self, duration_ms: int) -> None:
        for _ in range(0, duration_ms, STEP_MS):
            self.now_ms += STEP_MS
            for host in self.hosts.values():
                if host.runs:
                    if self.is_used:
                        self._use(host)
                    host.tick()
            for _ in range(6):
                self._deliver()

    def _use(self, host: Host) -> None:
        """Sometimes books a call, goes on with one, changes or reads."""
        draw = self.rng.random()
        if draw < 0.08:
            host.calls.book(f"k{self.now_ms // KEY_PERIOD_MS}")
        elif draw < 0.35:
            host.calls.write()
        elif draw < 0.50:
            end = (state.CallState.FINISHED, state.CallState.UNKNOWN)
            host.calls.end(self.rng.choice(end))
        elif draw < 0.56:
            host.calls.change(host.applier.revision)
        elif draw < 0.62:
            host.read()

    def _deliver(self) -> None:
        due = [p for p in self.packets if p.due_ms <= self.now_ms]
        self.packets = [p for p in self.packets if p.due_ms > self.now_ms]
        for packet in due:
            host = self.hosts[packet.to]
            if host.up and host.paused:
                self.packets.append(packet)
            elif host.up and (packet.sender, packet.to) not in self.blocked:
                host.receive(packet.sender, packet.body)

    def may_replace(self, host: Host) -> bool:
        """Whether every known voter set keeps a quorum of intact disks."""
        disks = {
            h.disk.voter
            for h in self.hosts.values()
            if h.disk is not None and h is not host
        }
        sets = [h.participant.voters for h in self.hosts.values()]
        return all(
            voters is not None
            and len(disks.intersection(voters.voters)) >= voters.quorum
            for voters, h in zip(sets, self.hosts.values(), strict=True)
            if h.disk is not None and h is not host
        )

    def leader(self) -> Host:
        """Returns the voter that leads the newest term, or any voter."""
        voters = [self.hosts[n] for n in self.voter_ids]
        return max(
            voters,
            key=lambda h: (
                h.up and h.participant.leader == h.node_id,
                h.participant.term,
            ),
        )

    def isolate(self, node_id: model.NodeId) -> None:
        for other in self.all_ids:
            self.blocked.add((node_id, other))
            self.blocked.add((other, node_id))

    def heal(self) -> None:
        """Ends every fault and lets the system settle."""
        self.blocked.clear()
        self.weather = CALM
        for host in self.hosts.values():
            host.paused = False
            if not host.up:
                host.start()
        self.run(9_000)
        self.is_used = False
        self.run(3_000)
