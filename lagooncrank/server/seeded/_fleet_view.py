"""View of the fleet: backend servers and nodes, as far as this node knows them.

Nodes send notices of themselves to control nodes, which pass them on to each
other and send summaries to their followers; each entry follows one control
node.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import functools
from typing import Final

import mode

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank import settings
from lagooncrank.core import dispatch
from lagooncrank.core import fleet
from lagooncrank.server import _shared_state
from lagooncrank.server import links as peer_links
from lagooncrank.server.seeded import _connectivity
from lagooncrank.server.seeded import _control_nodes
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _report_exchange
from lagooncrank.server.seeded import _stall_detector
from lagooncrank.server.seeded import _step_guard

FORWARD_INTERVAL_S: Final = 0.05
#: Interval between two notices of a node, for each entry: control nodes process
#: the notices of all entries.
NOTICE_INTERVAL_PER_ENTRY_MS: Final = 12
MIN_NOTICE_INTERVAL_MS: Final = 100
MAX_NOTICE_INTERVAL_MS: Final = 700
#: A node that sent no notice for this long, in observed time, is removed.
NOTICE_TTL_MS: Final = 2_000
#: Report intervals without a report after which a backend server counts as
#: unreachable.
UNREACHABLE_AFTER_INTERVALS: Final = 2.75

#: With two recipients, the loss of one control node does not delay what an
#: entry sends to others.
MAX_ENTRY_RECIPIENTS: Final = 2

#: Time from the first fleet summary until the totals in it include all entries:
#: two notice intervals.
LOADS_SETTLING_MS: Final = 700

_NOTICES: Final = "node-notices"
_SUMMARY: Final = "fleet-summary"


class FleetView(mode.Service):  # type: ignore[misc, unused-ignore]
    """Tracks backend servers and nodes, and publishes this node's state."""

    def __init__(
        self,
        node_settings: settings.SeededSettings,
        incarnation: int,
        links: peer_links.Links,
        shared: _shared_state.ReplicatedState,
        clock: clocks.Clock,
        observed_clock: observed_time.ObservedClock,
        log: _decision_log.DecisionLog,
    ) -> None:
        super().__init__()
        self._settings = node_settings
        self._incarnation = incarnation
        self._links = links
        self._shared = shared
        self._clock = clock
        self._observed_clock = observed_clock
        self._log = log
        self._guard = _step_guard.StepGuard(log)
        unreachable_after_ms = int(
            node_settings.timing.report_interval_ms
            * UNREACHABLE_AFTER_INTERVALS
        )
        self.table = fleet.ServerTable(unreachable_after_ms)
        self.nodes = fleet.NodeTable(NOTICE_TTL_MS)
        self.loads = dispatch.InFlightTracker()
        self.stall_detector = _stall_detector.StallDetector()
        #: Whether callers may be directed to this node.
        self.is_open = False
        #: Whether this entry has received a request since its start.
        self.has_served = False
        #: Number of open entries in the newest summary.
        self.entry_count = 1
        #: Number of entries that share what the system may use in all.
        self.sharing_entries = fleet.SharingEntries()
        #: Services that this entry has no path to.
        self.unreached: tuple[model.ServiceName, ...] = ()
        #: The same of all entries, by their addresses for callers.
        self._unreached_elsewhere: Mapping[
            str, tuple[model.ServiceName, ...]
        ] = {}
        #: Entries that have a path to no service, by the same addresses.
        self._cut_off_entries: tuple[str, ...] = ()
        self._first_summary_ms: int | None = None
        self._cached_entries = fleet.CachedEntryList()
        self._control_nodes = _control_nodes.ControlNodes(
            node_settings, links, shared, log
        )
        self.connectivity = _connectivity.Connectivity(
            node_settings.role, self.table, self.loads, links, shared, log
        )
        self.reports = _report_exchange.ReportExchange(
            node_settings.role,
            self.table,
            links,
            shared,
            self._control_nodes,
            clock,
            log,
        )
        #: Called after backend servers or stalled servers may have changed.
        self.listeners = self.reports.listeners
        self._pending_notices: dict[model.NodeId, fleet.NodeNotice] = {}
        self._sequence = 0
        self._notice_sent_ms = 0
        links.on_message(_NOTICES, fleet.NodeNotices, self._on_notices)
        links.on_message(_SUMMARY, fleet.FleetSummary, self._on_summary)

    @property
    def is_control(self) -> bool:
        """Whether this is a control node."""
        return self._settings.role is settings.Role.CONTROL

    async def on_start(self) -> None:
        """Connects to the control nodes that the settings name."""
        self._control_nodes.replace(self._settings.seed_ids)

    def add_seeds(self, seeds: tuple[model.NodeId, ...]) -> None:
        """Adds control nodes from changed settings."""
        self._control_nodes.add(seeds)

    @mode.Service.timer(FORWARD_INTERVAL_S)  # type: ignore[misc, unused-ignore]
    async def _refresh_periodically(self) -> None:
        self.refresh()

    def refresh(self) -> None:
        """Does what is due by now; parts that fail stop no other."""
        now_ms = self._clock.now_ms()
        for part, action in (
            ("connectivity", self._update_connectivity),
            ("expired reports", self.table.evict_expired),
            ("stalls", self._check_stalls),
            ("reports", self.reports.forward_updates),
            ("notice", self._publish_due_notice),
        ):
            self._guard.run(part, functools.partial(action, now_ms))

    def _update_connectivity(self, now_ms: int) -> None:
        self.connectivity.update(now_ms, self._observed_clock.now_ms())

    def _publish_due_notice(self, now_ms: int) -> None:
        interval_ms = notice_interval_ms(self.entry_count)
        if now_ms - self._notice_sent_ms >= interval_ms:
            self._notice_sent_ms = now_ms
            self.publish_notice()

    def knows_other_loads(self, now_ms: int) -> bool:
        """Returns whether the loads of all other entries are known.

        After a power failure all entries start at once, and the first totals
        do not include most of them.
        """
        first_ms = self._first_summary_ms
        return first_ms is not None and now_ms - first_ms >= LOADS_SETTLING_MS

    def open_entries(self, now_ms: int) -> Sequence[fleet.OpenEntry]:
        """Returns the entries that callers may be directed to."""
        if self.is_control:
            observed_ms = self._observed_clock.now_ms()
            return fleet.without_cut_off(
                self.nodes.open_entries(observed_ms),
                self.nodes.cut_off(observed_ms),
            )
        own_address = self._settings.listen.callers
        entries = self._cached_entries.entries_for_callers(
            now_ms, "" if self.is_open else own_address
        )
        return fleet.without_cut_off(entries, self._cut_off_entries)

    def entries_that_reach(
        self, service: model.ServiceName, now_ms: int
    ) -> Iterator[fleet.OpenEntry]:
        """Yields the other open entries that have a path to a service."""
        own_address = self._settings.listen.callers
        for entry in self._cached_entries.entries_for_callers(
            now_ms, own_address
        ):
            if service not in self._unreached_elsewhere.get(entry.address, ()):
                yield entry

    def publish_reach(self, unreached: tuple[model.ServiceName, ...]) -> None:
        """Publishes which services this entry has no path to."""
        self.unreached = unreached
        self.publish_notice()

    def entry_position(self, now_ms: int) -> int | None:
        """Returns this entry's index among the open entries, if it is open."""
        entries = self._cached_entries.entries_for_callers(now_ms)
        addresses = [e.address for e in entries]
        own_address = self._settings.listen.callers
        if own_address not in addresses:
            return None
        return addresses.index(own_address)

    def connected_control_nodes(self) -> list[model.NodeId]:
        """Returns the other control nodes with a live link, nearest first."""
        connected = self._links.connected()
        others = self._control_nodes.others_by_distance()
        return [n for n in others if n in connected]

    def news_recipients(self) -> frozenset[model.NodeId]:
        """Returns the nodes that this node passes on news to.

        From an entry they go to control nodes, which pass them on to others.
        """
        control_nodes = self.connected_control_nodes()
        if self.is_control:
            return self._shared.followers.union(control_nodes)
        return frozenset(control_nodes[:MAX_ENTRY_RECIPIENTS])

    def _check_stalls(self, _now_ms: int) -> None:
        newly_stalled = self.stall_detector.check_streams(
            self._observed_clock.now_ms()
        )
        if newly_stalled:
            self.publish_notice()
            self.stall_detector.notify(newly_stalled)

    def publish_notice(self) -> None:
        """Sends the state of this node to others now."""
        now_ms = self._clock.now_ms()
        self._sequence += 1
        notice = fleet.NodeNotice(
            self._settings.node_id,
            self._settings.role,
            self._settings.failure_domain_id,
            self._settings.listen.callers,
            self.is_open,
            self._incarnation,
            self._sequence,
            self.has_served,
            self.loads.publish(),
            tuple(self.stall_detector.stalled_locally),
            tuple(self.stall_detector.progress.working(now_ms)),
            tuple(self.stall_detector.suspected(now_ms)),
            self.unreached,
            bool(self.unreached)
            and self.table.ready_services().issubset(self.unreached),
        )
        if self.is_control:
            self.nodes.put(notice, self._observed_clock.now_ms())
            self._pending_notices[notice.node_id] = notice
            self._forward_notices(now_ms)
            return
        batch = fleet.NodeNotices((notice,))
        self._links.send_all(self.news_recipients(), _NOTICES, batch)

    def _forward_notices(self, now_ms: int) -> None:
        batch = fleet.NodeNotices(tuple(self._pending_notices.values()))
        self._pending_notices.clear()
        self._links.send_all(self._control_nodes.others(), _NOTICES, batch)
        summary = self.nodes.summary(
            self._observed_clock.now_ms(), self._control_nodes.voters()
        )
        self._record_entry_count(summary, now_ms)
        summary = dataclasses.replace(
            summary, sharing_entries=self.sharing_entries.count(now_ms) or 0
        )
        self._control_nodes.replace(summary.control_nodes)
        self._links.send_all(self._shared.followers, _SUMMARY, summary)

    def _on_notices(
        self, sender: model.NodeId, batch: fleet.NodeNotices
    ) -> None:
        observed_ms = self._observed_clock.now_ms()
        before = self.nodes.stalled(observed_ms)
        has_closed = False
        for notice in batch.notices:
            was_open = self.nodes.is_open(notice.node_id, observed_ms)
            if self.nodes.put(notice, observed_ms):
                self._pending_notices[notice.node_id] = notice
                has_closed |= was_open and not notice.is_open
        has_stalled = not self.nodes.stalled(observed_ms) <= before
        if has_stalled or has_closed:
            # Callers must not be directed to an entry that is stopping, and
            # entries avoid stalled servers: both are urgent.
            self._forward_notices(self._clock.now_ms())
        if has_stalled:
            for listener in self.listeners:
                listener()

    def _on_summary(
        self, sender: model.NodeId, summary: fleet.FleetSummary
    ) -> None:
        now_ms = self._clock.now_ms()
        self._cached_entries.update(summary.open_entries, now_ms)
        self._unreached_elsewhere = summary.unreached
        self._cut_off_entries = summary.cut_off
        self.sharing_entries.remember(summary.sharing_entries, now_ms)
        self._record_entry_count(summary, now_ms)
        self.loads.set_fleet_totals(summary.in_flight)
        if self._first_summary_ms is None:
            self._first_summary_ms = now_ms
        self.stall_detector.notify(
            self.stall_detector.update_remote(summary.stalled, now_ms)
        )
        if summary.control_nodes:
            self._control_nodes.replace(summary.control_nodes)

    def _record_entry_count(
        self, summary: fleet.FleetSummary, now_ms: int
    ) -> None:
        self.entry_count = len(summary.open_entries)
        self.sharing_entries.record(self.entry_count, now_ms)


def notice_interval_ms(entry_count: int) -> int:
    """Returns the interval between two notices of a node.

    >>> notice_interval_ms(1), notice_interval_ms(9), notice_interval_ms(83)
    (100, 108, 700)
    """
    interval_ms = NOTICE_INTERVAL_PER_ENTRY_MS * entry_count
    return min(max(interval_ms, MIN_NOTICE_INTERVAL_MS), MAX_NOTICE_INTERVAL_MS)
