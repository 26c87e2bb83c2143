"""Components common to all nodes: links, shared state, view of the fleet."""

import asyncio
from collections.abc import Sequence
import pathlib
import random
import sys
from typing import Final

import logbook
import mode

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank import settings
from lagooncrank.core import consensus
from lagooncrank.core import fleet
from lagooncrank.server import _shared_state
from lagooncrank.server import _sockets
from lagooncrank.server import links as peer_links
from lagooncrank.server import storage
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _crash_evidence
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _documents
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _loop_watch
from lagooncrank.server.seeded import _retained_state
from lagooncrank.server.seeded import _server_limits

#: Voters beyond twice the tolerated disk losses: 2f + 1 voters still have a
#: majority after f losses.
MAJORITY_MARGIN: Final = 1

_log = logbook.Logger("lagooncrank.node")


class Node(mode.Service):  # type: ignore[misc, unused-ignore]
    """Components that entries and control nodes have in common."""

    def __init__(
        self,
        node_settings: settings.SeededSettings,
        document_codec: _adapter.DocumentCodec,
        clock: clocks.Clock,
        started_ms: int | None = None,
    ) -> None:
        """Builds the components; none of them runs before `start`.

        Args:
            node_settings: Settings of the process.
            document_codec: Decodes the operators' documents.
            clock: Clock of the process.
            started_ms: Start of the process; defaults to now.

        Raises:
            StorageError: The data directory is not usable.
            OSError: Binding the peer address failed.
        """
        super().__init__()
        self.settings = node_settings
        self.clock = clock
        #: Wall-clock time of this start; higher for each restart of the node.
        self.incarnation = clock.wall_ms()
        self.decision_log = _decision_log.DecisionLog(
            sys.stdout.fileno(), clock, node_settings.node_id
        )
        #: Time in which this node could notice what others did.
        self.observed_clock = observed_time.ObservedClock(clock)
        self.loop_watch = _loop_watch.LoopWatch(
            clock, self.observed_clock, self.decision_log
        )
        self.links = peer_links.Links(
            node_settings.node_id,
            {
                node_settings.node_id: node_settings.peer_address(
                    node_settings.node_id
                )
            },
            node_settings.shared_key.encode(),
            clock,
            listener=_sockets.listener(
                node_settings.listen.peers
                or node_settings.peer_address(node_settings.node_id)
            ),
            accepts_unknown_peers=True,
            observed_clock=self.observed_clock,
        )
        store = None
        #: Keeps what a control node remembers beside the replicated log.
        self.side_file: storage.SideFile | None = None
        if node_settings.role is settings.Role.CONTROL:
            folder = pathlib.Path(node_settings.data_folder)
            store = storage.Storage.open(folder, node_settings.node_id)
            self.side_file = store.side_file(_retained_state.FILE_NAME)
        self.shared = _shared_state.ReplicatedState(
            _participant_config(node_settings, self.incarnation),
            self.links,
            clock,
            store,
            started_ms=started_ms,
            observed_clock=self.observed_clock,
        )
        self.documents = _documents.DocumentStore(
            self.shared, document_codec, self.decision_log
        )
        self.view = _fleet_view.FleetView(
            node_settings,
            self.incarnation,
            self.links,
            self.shared,
            clock,
            self.observed_clock,
            self.decision_log,
        )
        self.crash_evidence = _crash_evidence.CrashEvidenceExchange(
            self.view,
            self.links,
            clock,
            self.decision_log,
            origin=f"{node_settings.node_id}@{self.incarnation}",
        )
        self.server_limits = _server_limits.ServerLimits(
            node_settings.node_id,
            self.view,
            self.links,
            clock,
            self.observed_clock,
            self.decision_log,
        )

    async def on_start(self) -> None:
        """Starts the components, each after those that it depends on."""
        for component in (
            self.decision_log,
            self.loop_watch,
            self.links,
            self.shared,
            self.view,
            self.crash_evidence,
            self.server_limits,
        ):
            await self.add_runtime_dependency(component)
        self.decision_log.write(
            decisions.Event.STARTED,
            role=self.settings.role,
            incarnation=self.incarnation,
            first_start=self.settings.is_first_start,
        )

    def open_entries(
        self, limit: int, caller_domain: model.FailureDomainId
    ) -> Sequence[fleet.OpenEntry]:
        """Returns entries that a caller may be directed to.

        Args:
            limit: Maximum number of entries to return.
            caller_domain: Failure domain of the caller; empty if unknown.
        """
        running = self.view.open_entries(self.clock.now_ms())
        return fleet.choose_entries(
            running, limit, caller_domain, random.random()
        )

    def reload(self, node_settings: settings.SeededSettings) -> None:
        """Applies changed settings; addresses in use are not changed."""
        self.decision_log.write(
            decisions.Event.RELOADED, seeds=node_settings.seeds
        )
        self.view.add_seeds(node_settings.seed_ids)

    async def prepare_stop(self) -> None:
        """Withdraws from service before the stop, without failing requests."""
        self.decision_log.write(decisions.Event.STOPPING)
        await asyncio.sleep(0)


def _participant_config(
    node_settings: settings.SeededSettings, incarnation: int
) -> consensus.ParticipantConfig:
    seeds = tuple(sorted(node_settings.seed_ids))
    target_voters = 2 * node_settings.tolerated_disk_losses + MAJORITY_MARGIN
    return consensus.ParticipantConfig(
        node_settings.node_id,
        incarnation,
        seeds,
        tuple(s for s in seeds if s != node_settings.node_id),
        frozenset(seeds),
        may_bootstrap=node_settings.is_first_start,
        target_voter_count=target_voters,
    )
