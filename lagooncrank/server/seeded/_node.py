"""What every seeded node has: links, shared state, view of the fleet."""

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
from lagooncrank import settings
from lagooncrank.core import consensus
from lagooncrank.core import fleet
from lagooncrank.server import _shared_state
from lagooncrank.server import _sockets
from lagooncrank.server import links as peer_links
from lagooncrank.server import storage
from lagooncrank.server.seeded import _decisions
from lagooncrank.server.seeded import _documents
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _wire

#: Voters above twice the disks that may be lost at once.
VOTERS_BESIDE_LOSSES: Final = 1

_log = logbook.Logger("lagooncrank.node")


class Node(mode.Service):  # type: ignore[misc, unused-ignore]
    """The parts that entries and control nodes share."""

    def __init__(
        self,
        own: settings.SeededSettings,
        documents: _wire.DocumentCodec,
        clock: clocks.Clock,
        started_ms: int | None = None,
    ) -> None:
        """Builds the parts; nothing runs before the start.

        Args:
            own: Settings of the process.
            documents: Reads the operators' documents.
            clock: Clock of the process.
            started_ms: When the process began; defaults to now.

        Raises:
            StorageError: The data folder cannot be used.
            OSError: The peer address cannot be listened on.
        """
        super().__init__()
        self.settings = own
        self.clock = clock
        #: Wall time of this start, which orders the starts of a node.
        self.incarnation = clock.wall_ms()
        self.decisions = _decisions.DecisionLog(
            sys.stdout.fileno(), clock, own.node_id
        )
        self.links = peer_links.Links(
            own.node_id,
            {own.node_id: own.peer_address(own.node_id)},
            own.shared_key.encode(),
            clock,
            listener=_sockets.listener(
                own.listen.peers or own.peer_address(own.node_id)
            ),
            accepts_unknown_peers=True,
        )
        store = None
        if own.role is settings.Role.CONTROL:
            folder = pathlib.Path(own.data_folder)
            store = storage.Storage.open(folder, own.node_id)
        self.shared = _shared_state.ReplicatedState(
            _setup_of(own, self.incarnation),
            self.links,
            clock,
            store,
            started_ms=started_ms,
        )
        self.documents = _documents.Documents(
            self.shared, documents, self.decisions
        )
        self.view = _fleet_view.FleetView(
            own,
            self.incarnation,
            self.links,
            self.shared,
            clock,
            self.decisions,
        )

    async def on_start(self) -> None:
        """Starts the parts, those that others stand on first."""
        for part in (self.decisions, self.links, self.shared, self.view):
            await self.add_runtime_dependency(part)
        self.decisions.write(
            decisions.Event.STARTED,
            role=self.settings.role,
            incarnation=self.incarnation,
            first_start=self.settings.is_first_start,
        )

    def open_entries(
        self, most: int, near: model.FailureDomainId
    ) -> Sequence[fleet.OpenEntry]:
        """Returns entries that a caller may be sent to.

        Args:
            most: Number of entries that the answer may name.
            near: Failure domain of the caller; empty if it is not known.
        """
        running = self.view.open_entries(self.clock.now_ms())
        return fleet.choose_entries(running, most, near, random.random())

    def reload(self, own: settings.SeededSettings) -> None:
        """Takes changed settings; the addresses in use stay."""
        self.decisions.write(decisions.Event.RELOADED, seeds=own.seeds)
        self.view.add_seeds(own.seed_ids)

    async def leave(self) -> None:
        """Ends the node's part so that nobody notices its end."""
        self.decisions.write(decisions.Event.STOPPING)
        await asyncio.sleep(0)


def _setup_of(
    own: settings.SeededSettings, incarnation: int
) -> consensus.ParticipantConfig:
    seeds = tuple(sorted(own.seed_ids))
    target = 2 * own.tolerated_disk_losses + VOTERS_BESIDE_LOSSES
    return consensus.ParticipantConfig(
        own.node_id,
        incarnation,
        seeds,
        tuple(s for s in seeds if s != own.node_id),
        frozenset(seeds),
        may_bootstrap=own.is_first_start,
        target_voter_count=target,
    )
