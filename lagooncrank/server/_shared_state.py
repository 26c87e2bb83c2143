"""Connects a node's consensus participant to links, disk and timers."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import itertools
import pathlib
import random
from typing import Any
from typing import Final

import logbook
import mode

from lagooncrank import clock
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.core import consensus
from lagooncrank.core import state
from lagooncrank.server import _interfaces
from lagooncrank.server import _participant_config
from lagooncrank.server import _state_applier
from lagooncrank.server import _state_messages
from lagooncrank.server import _state_metrics
from lagooncrank.server import storage

TICK_INTERVAL_S: Final = 0.05
#: A log file is replaced by a snapshot once it has at least this size and is
#: several times as large as the last snapshot, so that a large state is not
#: written too often.
MIN_LOG_BYTES: Final = 4_194_304
MIN_LOG_SNAPSHOTS: Final = 4
TIMING: Final = consensus.Timing()
#: Longest wait of a node that stops for others to take its lead and vote.
MAX_HAND_OVER_S: Final = consensus.MAX_LEAVE_WAIT_MS / 1_000 + TICK_INTERVAL_S
#: A node whose last quorum contact is older counts as isolated.
MAX_CONTACT_AGE_MS: Final = 1_500

_log = logbook.Logger("lagooncrank.shared_state")


class ReplicatedState(mode.Service):  # type: ignore[misc, unused-ignore]
    """Implements `SharedState`.

    Everything that arrives in one iteration of the event loop is made durable
    by one sync; only then are replies sent and commands applied.
    """

    def __init__(
        self,
        config: consensus.ParticipantConfig,
        links: _interfaces.PeerLinks,
        clock_: clock.Clock,
        store: storage.Storage | None,
        random_float: Callable[[], float] = random.random,
        timing: consensus.Timing = TIMING,
        started_ms: int | None = None,
        observed_clock: observed_time.ObservedClock | None = None,
    ) -> None:
        """Initializes the service.

        Args:
            config: This node and the nodes that it knows.
            links: Links to the peers.
            clock_: Clock of the process.
            store: Durable storage; None on a node without a disk.
            random_float: Returns the next random number from 0.0 to 1.0.
            timing: Durations of the consensus protocol.
            started_ms: When the process started; defaults to now.
            observed_clock: Time in which this process could read messages;
                defaults to one of its own.

        Raises:
            UnknownCommandError: The log contains a command of a newer
                version.
            SnapshotVersionError: The snapshot has another version.
        """
        super().__init__()
        self._config = config
        self._links = links
        self._clock = clock_
        self._observed_clock = observed_clock or observed_time.ObservedClock(
            clock_
        )
        #: What the process missed before its first event; the start counts.
        self._missed_at_start_ms: int | None = None
        self._store = store
        self._state_applier = _state_applier.StateApplier()
        now_ms = clock_.now_ms()
        node = None
        durable = consensus.DurableState()
        if store is not None:
            durable = store.state()
            _state_applier.check_commands(durable.entries)
            node = consensus.Node(
                store.voter, timing, random_float, durable, now_ms, started_ms
            )
        self._participant = consensus.Participant(
            config,
            node,
            store.voter if store else None,
            self._state_applier,
            durable,
        )
        self._request_numbers = itertools.count(1)
        self._pending_proposals: dict[
            consensus.ProposalId, asyncio.Future[Any]
        ] = {}
        self._pending_reads: dict[int, asyncio.Future[bool]] = {}
        self._flush_is_due = False
        #: Set once nothing is left to hand over.
        self._may_stop = asyncio.Event()
        #: Why the voter stopped; None while it runs.
        self.failure: results.Refusal | None = None
        #: Whether it stopped because the disk did not take a write. What is on
        #: disk is sound, so a restart can go on from there.
        self.has_failed_to_write = False
        for kind, body in _state_messages.KINDS:
            links.on_message(kind, body, self._receive)

    @classmethod
    def from_settings(
        cls,
        process: settings.ProcessSettings,
        links: _interfaces.PeerLinks,
        clock_: clock.Clock,
        incarnation: int,
    ) -> "ReplicatedState":
        """Builds the service from the process settings.

        Args:
            process: Settings of the daemon.
            links: Links to the peers.
            clock_: Clock of the process.
            incarnation: Number of this start, unique among the starts of the
                node.

        Raises:
            StorageError: The data folder cannot be used.
        """
        store = None
        if process.own_node.is_initial_voter:
            folder = pathlib.Path(process.data_folder)
            store = storage.Storage.open(folder, process.node_id)
        config = _participant_config.build(process, incarnation)
        return cls(config, links, clock_, store)

    def set_peers(
        self,
        upstreams: tuple[model.NodeId, ...],
        linked: frozenset[model.NodeId],
    ) -> None:
        """Sets the nodes to follow and the nodes to which links exist."""
        self._participant.set_peers(upstreams, linked)

    @property
    def upstream(self) -> model.NodeId | None:
        """Node that this one follows; None on a node with a disk."""
        return self._participant.upstream

    @property
    def followers(self) -> frozenset[model.NodeId]:
        """Nodes that currently follow this one."""
        return self._participant.followers(self._clock.now_ms())

    @property
    def has_caught_up(self) -> bool:
        """Whether all changes confirmed before a recent contact are applied.

        See `Participant.has_caught_up`.
        """
        return self._participant.has_caught_up(self._clock.now_ms())

    @property
    def voters(self) -> consensus.VoterSet | None:
        """Voter set according to this node's log; None without a disk."""
        return self._participant.voters

    @property
    def view(self) -> _interfaces.StateView:
        """State applied at this node; it may lag behind the leader."""
        return self._state_applier.view

    @property
    def is_leader(self) -> bool:
        """Whether this node is the leader and its leader lease is valid."""
        return self._participant.has_leader_lease(self._clock.now_ms())

    @property
    def leader(self) -> model.NodeId | None:
        """The leader that this node knows, if any."""
        return self._participant.leader

    @property
    def term(self) -> int:
        """The newest term that this node knows of."""
        return self._participant.term

    def contact_age_ms(self) -> int | None:
        """Returns the age of the last quorum contact; None before the first."""
        return self._participant.contact_age_ms(self._clock.now_ms())

    @property
    def has_quorum(self) -> bool:
        """Whether quorum contact is recent enough for reports to spread."""
        age_ms = self.contact_age_ms()
        return age_ms is not None and age_ms < MAX_CONTACT_AGE_MS

    def lease_holds(self) -> bool:
        """Whether quorum contact is recent enough to accept new requests."""
        configuration = self.view.configuration
        leases = model.LeaseRules()
        if configuration is not None:
            leases = configuration.declarations.leases
        age_ms = self.contact_age_ms()
        return age_ms is not None and age_ms < leases.configuration_ms

    async def propose(
        self, command: state.Command, timeout_ms: int
    ) -> state.Outcome:
        """Commits a command through the leader and returns its outcome."""
        if self.failure is not None:
            return state.Outcome(self.failure.code, self.failure.reason)
        proposal = consensus.ProposalId(
            self._config.node_id,
            self._config.incarnation,
            next(self._request_numbers),
        )
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending_proposals[proposal] = future
        deadline_ms = self._clock.now_ms() + timeout_ms
        data = state.encode_command(command)
        self._participant.propose(proposal, data, deadline_ms)
        self._flush_soon()
        settled: consensus.SettledProposal = await future
        _state_metrics.PROPOSALS.labels(settled.code.name).inc()
        if settled.code is results.ResultCode.OK:
            outcome: state.Outcome = settled.outcome
            return outcome
        return state.Outcome(settled.code, settled.code.meaning)

    async def confirm_read(self, timeout_ms: int) -> bool:
        """Waits until `view` includes all changes committed before the call."""
        read_id = next(self._request_numbers)
        future: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_reads[read_id] = future
        self._participant.read(read_id, self._clock.now_ms())
        self._flush_soon()
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                return await future
        except TimeoutError:
            _state_metrics.READS_FAILED.inc()
            return False
        finally:
            self._pending_reads.pop(read_id, None)
            self._participant.cancel_read(read_id)

    def on_applied(self, listener: _interfaces.AppliedListener) -> None:
        """Registers a listener for applied commands.

        When a snapshot is restored, the listener is called once, with the
        command that put the current revision in force.
        """
        self._state_applier.listeners.append(listener)

    async def hand_over(self) -> None:
        """Hands over this node's lead and vote before the process stops.

        Takes a moment if no other disk waits for the vote, and ends in time if
        nobody answers.
        """
        if self.failure is not None:
            return
        self._participant.leave(self._clock.now_ms())
        self._flush_soon()
        # A node whose component crashed may run no timers any more.
        try:
            async with asyncio.timeout(MAX_HAND_OVER_S):
                await self._may_stop.wait()
        except TimeoutError:
            _log.warning("stopping without having handed over lead and vote")

    async def on_stop(self) -> None:
        """Cancels pending proposals and closes the data folder."""
        for future in self._pending_proposals.values():
            future.cancel()
        if self._store is not None:
            self._store.close()

    @mode.Service.timer(TICK_INTERVAL_S)  # type: ignore[misc, unused-ignore]
    async def _tick_periodically(self) -> None:
        self.tick()

    def tick(self) -> None:
        """Runs the due timers of the consensus protocol and flushes."""
        self._observed_clock.tick()
        if self.failure is None:
            self._observe()
            self._run_guarded(
                lambda: self._participant.tick(self._clock.now_ms())
            )
            self._flush()

    def _observe(self) -> None:
        """Tells the participant for how long this process stood still."""
        missed_ms = self._observed_clock.missed_ms
        if self._missed_at_start_ms is None:
            self._missed_at_start_ms = missed_ms
        self._participant.observe(missed_ms - self._missed_at_start_ms)

    def _receive(self, sender: model.NodeId, body: Any) -> None:
        if self.failure is None:
            self._observe()
            now_ms = self._clock.now_ms()
            self._run_guarded(
                lambda: self._participant.receive(sender, body, now_ms)
            )
            self._flush_soon()

    def _flush_soon(self) -> None:
        """Schedules a flush after the callbacks that are already ready."""
        if not self._flush_is_due:
            self._flush_is_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_is_due = False
        if self.failure is None:
            self._run_guarded(self._process_output)

    def _process_output(self) -> None:
        now_ms = self._clock.now_ms()
        pending_output = self._participant.pending_output(now_ms)
        self._store_output(pending_output)
        released = self._participant.complete(pending_output, now_ms)
        for message in released.messages:
            kind = _state_messages.kind_of(message.body)
            self._links.send(message.to, kind, message.body)
        if self._participant.may_stop(now_ms):
            self._may_stop.set()
        self._resolve_proposals(released.settled)
        for read_id in released.reads:
            future = self._pending_reads.get(read_id)
            if future is not None and not future.done():
                future.set_result(True)
        self._compact_if_large()

    def _store_output(self, pending_output: consensus.PendingOutput) -> None:
        if self._store is None:
            return
        if pending_output.initial_voters is not None:
            self._store.store_initial_voters(pending_output.initial_voters)
        if (
            pending_output.output is not None
            and pending_output.output.must_sync
        ):
            self._store.write(pending_output.output)
            _state_metrics.SYNCS.inc()

    def _compact_if_large(self) -> None:
        if self._store is None:
            return
        min_bytes = MIN_LOG_SNAPSHOTS * self._store.snapshot_bytes
        if self._store.log_bytes < max(MIN_LOG_BYTES, min_bytes):
            return
        snapshot = self._participant.compact()
        if snapshot is not None:
            self._store.compact(snapshot)

    def _resolve_proposals(
        self, settled: Sequence[consensus.SettledProposal]
    ) -> None:
        for result in settled:
            future = self._pending_proposals.pop(result.proposal, None)
            if future is not None and not future.done():
                future.set_result(result)

    def _run_guarded(self, step: Callable[[], None]) -> None:
        """Runs a step; a disk or log error stops the participant for good."""
        try:
            step()
        except (
            storage.StorageError,
            consensus.CommittedEntryError,
            state.UnknownCommandError,
        ) as error:
            self._fail(error)

    def _fail(self, error: Exception) -> None:
        self._may_stop.set()
        self.has_failed_to_write = isinstance(error, storage.WriteError)
        self.failure = results.Refusal(
            results.ResultCode.STORAGE_FAILED, str(error)
        )
        _log.critical("the voter stopped: {}", error)
        proposals = tuple(self._pending_proposals)
        lost = results.ResultCode.PROPOSAL_LOST
        self._resolve_proposals(
            [consensus.SettledProposal(p, lost) for p in proposals]
        )
