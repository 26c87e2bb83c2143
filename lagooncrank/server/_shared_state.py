"""Runs one node's part in the shared state: links, storage and timers."""

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
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.core import consensus
from lagooncrank.core import state
from lagooncrank.server import _applying
from lagooncrank.server import _ports
from lagooncrank.server import _state_messages
from lagooncrank.server import _state_metrics
from lagooncrank.server import _state_setup
from lagooncrank.server import storage

TICK_S: Final = 0.05
#: A log file is replaced by a snapshot from this size on, and not before it
#: is some snapshots long, so that a large state is not written all the time.
MIN_LOG_BYTES: Final = 4_194_304
MIN_LOG_SNAPSHOTS: Final = 4
TIMING: Final = consensus.Timing()
#: Age of the last contact with a quorum beyond which a node is cut off.
QUORUM_CONTACT_MS: Final = 1_500

_log = logbook.Logger("lagooncrank.shared_state")


class ReplicatedState(mode.Service):  # type: ignore[misc, unused-ignore]
    """Implements `SharedState`.

    Everything that arrives in one turn of the loop is made durable by one
    sync; only then are answers sent and commands applied.
    """

    def __init__(
        self,
        setup: consensus.ParticipantConfig,
        links: _ports.PeerLinks,
        clock_: clock.Clock,
        store: storage.Storage | None,
        draw: Callable[[], float] = random.random,
        timing: consensus.Timing = TIMING,
        started_ms: int | None = None,
    ) -> None:
        """Prepares the service.

        Args:
            setup: This node and those that it knows.
            links: Links to the peers.
            clock_: Clock of the process.
            store: Data folder; None on a node without a disk.
            draw: Returns the next random number, 0.0 to 1.0.
            timing: Durations of the consensus protocol.
            started_ms: When the process began; defaults to now.

        Raises:
            UnknownCommandError: The log holds a command of a newer version.
            SnapshotVersionError: The snapshot is of another version.
        """
        super().__init__()
        self._setup = setup
        self._links = links
        self._clock = clock_
        self._store = store
        self._machine = _applying.Machine()
        now_ms = clock_.now_ms()
        node = None
        durable = consensus.DurableState()
        if store is not None:
            durable = store.state()
            _applying.check_known(durable.entries)
            node = consensus.Node(
                store.voter, timing, draw, durable, now_ms, started_ms
            )
        self._participant = consensus.Participant(
            setup, node, store.voter if store else None, self._machine, durable
        )
        self._numbers = itertools.count(1)
        self._waiting: dict[consensus.ProposalId, asyncio.Future[Any]] = {}
        self._reading: dict[int, asyncio.Future[bool]] = {}
        self._flush_is_due = False
        #: Why the voter stopped; None while it runs.
        self.failure: results.Refusal | None = None
        for kind, body in _state_messages.KINDS:
            links.on_message(kind, body, self._receive)

    @classmethod
    def from_settings(
        cls,
        process: settings.ProcessSettings,
        links: _ports.PeerLinks,
        clock_: clock.Clock,
        incarnation: int,
    ) -> "ReplicatedState":
        """Builds the service that the process settings describe.

        Args:
            process: Settings of the daemon.
            links: Links to the peers.
            clock_: Clock of the process.
            incarnation: Number of this start; no two starts of a node may
                have the same.

        Raises:
            StorageError: The data folder cannot be used.
        """
        store = None
        if process.own.votes:
            folder = pathlib.Path(process.data_folder)
            store = storage.Storage.open(folder, process.node_id)
        setup = _state_setup.setup_of(process, incarnation)
        return cls(setup, links, clock_, store)

    def set_peers(
        self,
        upstreams: tuple[model.NodeId, ...],
        linked: frozenset[model.NodeId],
    ) -> None:
        """Takes the nodes to follow and those with a link, as they change."""
        self._participant.set_peers(upstreams, linked)

    @property
    def upstream(self) -> model.NodeId | None:
        """Node that this one follows; None on a node with a disk."""
        return self._participant.upstream

    @property
    def followers(self) -> frozenset[model.NodeId]:
        """Nodes that follow this one."""
        return self._participant.followers(self._clock.now_ms())

    @property
    def has_caught_up(self) -> bool:
        """Whether all that a quorum had committed once is applied here."""
        return self._participant.has_caught_up

    @property
    def voters(self) -> consensus.VoterSet | None:
        """Voter set as this node's log has it; None without a disk."""
        return self._participant.voters

    @property
    def view(self) -> _ports.StateView:
        """State applied at this node; it may lag the leader."""
        return self._machine.view

    @property
    def is_leader(self) -> bool:
        """Whether this node leads and its leader lease holds."""
        return self._participant.has_leader_lease(self._clock.now_ms())

    @property
    def leader(self) -> model.NodeId | None:
        """The leader as far as this node knows."""
        return self._participant.leader

    @property
    def term(self) -> int:
        """The newest term that this node knows of."""
        return self._participant.term

    def contact_age_ms(self) -> int | None:
        """Returns the age of the last quorum contact; None before any."""
        return self._participant.contact_age_ms(self._clock.now_ms())

    @property
    def has_quorum(self) -> bool:
        """Whether a quorum answered lately, so that what is told spreads."""
        age_ms = self.contact_age_ms()
        return age_ms is not None and age_ms < QUORUM_CONTACT_MS

    def lease_holds(self) -> bool:
        """Whether quorum contact is recent enough to take new work."""
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
            self._setup.node_id, self._setup.incarnation, next(self._numbers)
        )
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiting[proposal] = future
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
        """Waits until `view` holds all that was committed before the call."""
        read_id = next(self._numbers)
        future: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self._reading[read_id] = future
        self._participant.read(read_id, self._clock.now_ms())
        self._flush_soon()
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                return await future
        except TimeoutError:
            _state_metrics.READS_FAILED.inc()
            return False
        finally:
            self._reading.pop(read_id, None)
            self._participant.cancel_read(read_id)

    def on_applied(self, listener: _ports.AppliedListener) -> None:
        """Registers a listener for applied commands.

        After a restored snapshot it is called once, with the command that
        put the present revision in force.
        """
        self._machine.listeners.append(listener)

    async def on_stop(self) -> None:
        """Closes the data folder; waiting proposals end as lost."""
        for future in self._waiting.values():
            future.cancel()
        if self._store is not None:
            self._store.close()

    @mode.Service.timer(TICK_S)  # type: ignore[misc, unused-ignore]
    async def _tick_now_and_then(self) -> None:
        self.tick()

    def tick(self) -> None:
        """Does what is due."""
        if self.failure is None:
            self._guarded(lambda: self._participant.tick(self._clock.now_ms()))
            self._flush()

    def _receive(self, sender: model.NodeId, body: Any) -> None:
        if self.failure is None:
            now_ms = self._clock.now_ms()
            self._guarded(
                lambda: self._participant.receive(sender, body, now_ms)
            )
            self._flush_soon()

    def _flush_soon(self) -> None:
        """Flushes once everything that is ready on the loop was taken in."""
        if not self._flush_is_due:
            self._flush_is_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_is_due = False
        if self.failure is None:
            self._guarded(self._carry_out)

    def _carry_out(self) -> None:
        now_ms = self._clock.now_ms()
        pending_output = self._participant.pending_output(now_ms)
        self._store_work(pending_output)
        result = self._participant.complete(pending_output, now_ms)
        for message in result.messages:
            kind = _state_messages.kind_of(message.body)
            self._links.send(message.to, kind, message.body)
        self._settle(result.settled)
        for read_id in result.reads:
            waiting = self._reading.get(read_id)
            if waiting is not None and not waiting.done():
                waiting.set_result(True)
        self._compact_if_large()

    def _store_work(self, pending_output: consensus.PendingOutput) -> None:
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
        wanted = MIN_LOG_SNAPSHOTS * self._store.snapshot_bytes
        if self._store.log_bytes < max(MIN_LOG_BYTES, wanted):
            return
        snapshot = self._participant.compact()
        if snapshot is not None:
            self._store.compact(snapshot)

    def _settle(self, settled: Sequence[consensus.SettledProposal]) -> None:
        for end in settled:
            future = self._waiting.pop(end.proposal, None)
            if future is not None and not future.done():
                future.set_result(end)

    def _guarded(self, step: Callable[[], None]) -> None:
        """Runs a step; after a fault of disk or log nothing more is done."""
        try:
            step()
        except (
            storage.StorageError,
            consensus.CommittedEntryError,
            state.UnknownCommandError,
        ) as error:
            self._fail(error)

    def _fail(self, error: Exception) -> None:
        self.failure = results.Refusal(
            results.ResultCode.STORAGE_FAILED, str(error)
        )
        _log.critical("the voter stops: {}", error)
        waiting = tuple(self._waiting)
        lost = results.ResultCode.PROPOSAL_LOST
        self._settle([consensus.SettledProposal(p, lost) for p in waiting])
