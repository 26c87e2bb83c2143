"""Simulated cluster of participants with fault injection.

Processes, disks and the network can fail, and each host has its own clock.
"""

import dataclasses
import random
from typing import Any

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank import results
from lagooncrank.core import consensus
from lagooncrank.core import state
from lagooncrank.core.consensus.tests import at_most_once_calls
from lagooncrank.core.consensus.tests import node_cluster

STEP_MS = 50
PROPOSAL_TIMEOUT_MS = 2_000
#: Hosts that reserve a call within the same period use the same key.
KEY_PERIOD_MS = 1_500


@dataclasses.dataclass(slots=True)
class NetworkConditions:
    """Loss, duplication and delay of messages."""

    loss: float = 0.0
    duplication: float = 0.0
    max_delay_ms: int = 0


RELIABLE_NETWORK = NetworkConditions()
UNRELIABLE_NETWORK = NetworkConditions(
    loss=0.15, duplication=0.1, max_delay_ms=600
)


class Applier:
    """State machine of one host, with a trace of the applied entries."""

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
    """One process with its participant, its disk and the calls it owns."""

    def __init__(
        self,
        cluster: "SimulatedCluster",
        node_id: model.NodeId,
        disk: node_cluster.Disk | None,
    ) -> None:
        self.cluster = cluster
        self.node_id = node_id
        self.disk = disk
        #: Nodes that this host knows beside those in its own log; None if it
        #: knows all.
        self.seeds: tuple[model.NodeId, ...] | None = None
        self.clock_offset_ms = cluster.rng.randrange(1_000_000)
        self.paused = False
        self.incarnation = 0
        self.start()

    def start(self) -> None:
        self.incarnation += 1
        self.up = True
        self.paused = False
        self.clock = clocks.ManualClock(self.now_ms)
        self.observed_clock = observed_time.ObservedClock(self.clock)
        self.applier = Applier()
        self.calls = at_most_once_calls.OwnedCalls(self)
        self.applier.listeners.append(self.calls.on_applied)
        #: Lowest revision that each pending read may return.
        self.reads: dict[int, int] = {}
        durable = consensus.DurableState()
        self.node: consensus.Node | None = None
        voter = None
        if self.disk is not None:
            durable = self.disk.synced
            voter = self.disk.voter
            self.node = self.cluster.new_node(voter, durable, self.now_ms)
        seeds = self.cluster.voter_ids if self.seeds is None else self.seeds
        config = consensus.ParticipantConfig(
            self.node_id,
            self.incarnation,
            seeds,
            tuple(v for v in seeds if v != self.node_id),
            self._linked(),
            may_bootstrap=self.node_id in self.cluster.voter_ids,
            target_voter_count=self.cluster.target_voter_count,
        )
        self.participant = consensus.Participant(
            config, self.node, voter, self.applier, durable
        )
        self._last_number = 0

    def _linked(self) -> frozenset[model.NodeId]:
        """Returns the nodes that this host has links to."""
        if self.seeds is None:
            return frozenset(self.cluster.all_ids)
        voters = self.node.status.voters if self.node is not None else None
        members = [v.node_id for v in voters.members] if voters else []
        return frozenset((*self.seeds, *members))

    @property
    def now_ms(self) -> int:
        return self.cluster.now_ms + self.clock_offset_ms

    def observe(self) -> None:
        self.clock.advance(self.now_ms - self.clock.now_ms())
        self.participant.observe(self.observed_clock.missed_ms)

    @property
    def is_running(self) -> bool:
        return self.up and not self.paused

    def tick(self) -> None:
        self.observe()
        self.observed_clock.tick()
        if self.seeds is not None:
            upstreams = tuple(n for n in self.seeds if n != self.node_id)
            self.participant.set_peers(upstreams, self._linked())
        self.participant.tick(self.now_ms)
        self.process_output()

    def receive(self, sender: model.NodeId, body: Any) -> None:
        self.observe()
        self.participant.receive(sender, body, self.now_ms)
        self.process_output()

    def propose(self, command: state.Command) -> consensus.ProposalId:
        self._last_number += 1
        proposal = consensus.ProposalId(
            self.node_id, self.incarnation, self._last_number
        )
        deadline_ms = self.now_ms + PROPOSAL_TIMEOUT_MS
        data = state.encode_command(command)
        self.participant.propose(proposal, data, deadline_ms)
        return proposal

    def read(self) -> None:
        self._last_number += 1
        self.reads[self._last_number] = self.cluster.acknowledged_revision
        self.participant.read(self._last_number, self.now_ms)

    def process_output(self, crash: str = "") -> None:
        """Processes the pending output.

        Args:
            crash: Point at which to crash: "before_sync", "after_sync", or
                empty for none.
        """
        pending_output = self.participant.pending_output(self.now_ms)
        if self.disk is not None:
            if pending_output.initial_voters is not None:
                self.disk.store_initial_voters(pending_output.initial_voters)
            if pending_output.output is not None:
                self.disk.write(pending_output.output)
            if crash == "before_sync":
                self.crash()
                return
            self.disk.sync()
        if crash:
            self.crash()
            return
        released = self.participant.complete(pending_output, self.now_ms)
        for message in released.messages:
            self.cluster.send(self.node_id, message)
        for settled in released.settled:
            if settled.code is results.ResultCode.NO_QUORUM:
                self.cluster.refused_proposals.add(settled.proposal)
            self.calls.on_settled(settled)
        for read_id in released.reads:
            min_revision = self.reads.pop(read_id)
            assert self.applier.revision >= min_revision, (
                "confirmed read is stale"
            )

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
    """A message in transit."""

    due_ms: int
    sender: model.NodeId
    to: model.NodeId
    body: Any


class SimulatedCluster:
    """Cluster of three voters and one follower without a disk."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.network_conditions = RELIABLE_NETWORK
        #: Whether hosts reserve calls, change the configuration and read.
        self.has_workload = True
        #: Number of voters to maintain; None keeps exactly `voter_ids`.
        self.target_voter_count: int | None = None
        self.blocked: set[tuple[model.NodeId, model.NodeId]] = set()
        self.packets: list[Packet] = []
        self.voter_ids = tuple(model.NodeId(f"v{i}") for i in range(3))
        self.all_ids = (*self.voter_ids, model.NodeId("e0"))
        #: Highest revision whose acceptance was reported to a proposer.
        self.acknowledged_revision = 0
        #: Owners that wrote a call to a backend server, by call.
        self.written_calls: dict[state.CallKey, list[state.CallOwner]] = {}
        #: Owners that reported to their caller that the call did not run.
        self.reported_not_run: set[state.CallOwner] = set()
        #: Proposals reported as never taking effect.
        self.refused_proposals: set[consensus.ProposalId] = set()
        self._disk_count = 0
        self.hosts = {
            n: Host(self, n, self.new_disk(n) if n != "e0" else None)
            for n in self.all_ids
        }

    def new_disk(self, node_id: model.NodeId) -> node_cluster.Disk:
        self._disk_count += 1
        return node_cluster.Disk(
            consensus.Voter(node_id, f"disk{self._disk_count}")
        )

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
        if self.rng.random() < self.network_conditions.loss:
            return
        copies = 1 + (self.rng.random() < self.network_conditions.duplication)
        # Links never duplicate a message; only the consensus messages must
        # tolerate duplicates.
        if not isinstance(message.body, consensus.NODE_MESSAGES):
            copies = 1
        for _ in range(copies):
            delay_ms = self.rng.randint(0, self.network_conditions.max_delay_ms)
            due_ms = self.now_ms + delay_ms
            self.packets.append(
                Packet(due_ms, sender, message.to, message.body)
            )

    def run(self, duration_ms: int) -> None:
        for _ in range(0, duration_ms, STEP_MS):
            self.now_ms += STEP_MS
            for host in self.hosts.values():
                if host.is_running:
                    if self.has_workload:
                        self._run_random_operation(host)
                    host.tick()
            for _ in range(6):
                self._deliver()

    def _run_random_operation(self, host: Host) -> None:
        """Runs a random operation, or none.

        Reserves, sends or finishes a call, changes the configuration, or reads.
        """
        draw = self.rng.random()
        if draw < 0.08:
            host.calls.reserve(f"k{self.now_ms // KEY_PERIOD_MS}")
        elif draw < 0.35:
            host.calls.send_oldest()
        elif draw < 0.50:
            end_states = (state.CallState.FINISHED, state.CallState.UNKNOWN)
            host.calls.finish_oldest(self.rng.choice(end_states))
        elif draw < 0.56:
            host.calls.apply_declarations(host.applier.revision)
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

    def can_replace_disk(self, host: Host) -> bool:
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
        """Returns the leader of the newest term, or any node with a disk."""
        return max(
            [h for h in self.hosts.values() if h.disk is not None],
            key=lambda h: (
                h.up and h.participant.leader == h.node_id,
                h.participant.term,
            ),
        )

    def isolate(self, node_id: model.NodeId) -> None:
        for other in self.all_ids:
            self.blocked.add((node_id, other))
            self.blocked.add((other, node_id))

    def clear_faults(self) -> None:
        """Clears all faults and runs until the cluster has converged."""
        self.blocked.clear()
        self.network_conditions = RELIABLE_NETWORK
        for host in self.hosts.values():
            host.paused = False
            if not host.up:
                host.start()
        self.run(9_000)
        self.has_workload = False
        self.run(3_000)
