"""Keeps what this node knows of backend servers and nodes, and passes it on.

Backend servers report to any control node. Control nodes pass what is new to
each other and to the nodes that follow them; entries follow one control node.
"""

from collections.abc import Callable
from typing import Final

import mode

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import model
from lagooncrank import settings
from lagooncrank.core import dispatch
from lagooncrank.core import fleet
from lagooncrank.server import _shared_state
from lagooncrank.server import links as peer_links
from lagooncrank.server.seeded import _control_nodes
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _stalls

PASS_ON_S: Final = 0.05
NOTICE_INTERVAL_MS: Final = 250
#: Added to the interval for each entry, as control nodes hear all of them.
NOTICE_INTERVAL_PER_ENTRY_MS: Final = 5
MAX_NOTICE_INTERVAL_MS: Final = 700
#: A node whose notices stay away for this long is taken off.
NOTICE_LEASE_MS: Final = 2_000
#: Report intervals after which a silent backend server counts as lost.
LOST_AFTER_INTERVALS: Final = 2.75

#: Time from the first summary until it counts every entry: two notices.
LEARN_LOADS_MS: Final = 700

_REPORTS: Final = "server-reports"
_NOTICES: Final = "node-notices"
_SUMMARY: Final = "fleet-summary"
_WANTED: Final = "reports-wanted"


class FleetView(mode.Service):  # type: ignore[misc, unused-ignore]
    """Knows servers and nodes; tells the own node to others."""

    def __init__(
        self,
        own: settings.SeededSettings,
        incarnation: int,
        links: peer_links.Links,
        shared: _shared_state.ReplicatedState,
        clock: clocks.Clock,
        log: _decision_log.DecisionLog,
    ) -> None:
        super().__init__()
        self._settings = own
        self._incarnation = incarnation
        self._links = links
        self._shared = shared
        self._clock = clock
        self._log = log
        unreachable_after_ms = int(
            own.timing.report_interval_ms * LOST_AFTER_INTERVALS
        )
        self.table = fleet.ServerTable(unreachable_after_ms)
        self.nodes = fleet.NodeTable(NOTICE_LEASE_MS)
        self.loads = dispatch.InFlightTracker()
        self.stalls = _stalls.Stalls(clock.now_ms())
        #: Whether callers may be sent to this node.
        self.is_open = False
        #: Whether this entry has taken a request.
        self.has_served = False
        #: Entries that share what is counted over all of them.
        self.entry_count = 1
        self._first_summary_ms: int | None = None
        self._heard_entries = fleet.CachedEntryList()
        #: Called after the table or the groups may have changed.
        self.listeners: list[Callable[[], None]] = []
        self._control_nodes = _control_nodes.ControlNodes(
            own, links, shared, log
        )
        self._fresh_notices: dict[model.NodeId, fleet.NodeNotice] = {}
        self._told: frozenset[model.NodeId] = frozenset()
        self._sequence = 0
        self._noticed_ms = 0
        self._is_connected = True
        links.on_message(_REPORTS, fleet.ReportBatch, self._on_reports)
        links.on_message(_NOTICES, fleet.NodeNotices, self._on_notices)
        links.on_message(_WANTED, fleet.ReportsWanted, self._on_wanted)
        links.on_message(_SUMMARY, fleet.FleetSummary, self._on_summary)
        links.on_connected(self._on_connected)

    @property
    def is_control(self) -> bool:
        """Whether this is a control node."""
        return self._settings.role is settings.Role.CONTROL

    def report(self, report: model.ServerReport) -> None:
        """Takes a report of a backend server."""
        if self.table.put(report, self._clock.now_ms()):
            self._note_server(report)
            self._changed()

    def leave(
        self, server_id: model.BackendServerId, born_ms: int | None
    ) -> None:
        """Takes a backend server off by its own word."""
        if self.table.deregister(server_id, born_ms, self._clock.now_ms()):
            self._log.write(
                decisions.Event.SERVER, server=server_id, state="gone"
            )
            self._changed()

    async def on_start(self) -> None:
        """Learns of the control nodes that the settings name."""
        self._control_nodes.follow(self._settings.seed_ids)

    def add_seeds(self, seeds: tuple[model.NodeId, ...]) -> None:
        """Asks further control nodes."""
        self._control_nodes.add(seeds)

    @mode.Service.timer(PASS_ON_S)  # type: ignore[misc, unused-ignore]
    async def _pass_on_now_and_then(self) -> None:
        now_ms = self._clock.now_ms()
        self._listen(now_ms)
        self.table.evict_expired(now_ms)
        self._watch_stalls(now_ms)
        self._pass_on()
        interval_ms = NOTICE_INTERVAL_MS
        interval_ms += NOTICE_INTERVAL_PER_ENTRY_MS * self.entry_count
        interval_ms = min(interval_ms, MAX_NOTICE_INTERVAL_MS)
        if now_ms - self._noticed_ms >= interval_ms:
            self._noticed_ms = now_ms
            self.notify_others()

    def knows_other_loads(self, now_ms: int) -> bool:
        """Whether this entry has heard what all others have in flight.

        After a loss of power all entries start at once, and the first words
        on loads miss most of them.
        """
        first_ms = self._first_summary_ms
        return first_ms is not None and now_ms - first_ms >= LEARN_LOADS_MS

    def open_entries(self, now_ms: int) -> tuple[fleet.OpenEntry, ...]:
        """Returns the entries that callers may be sent to."""
        if self.is_control:
            return self.nodes.open_entries(now_ms)
        own = self._settings.listen.callers
        return self._heard_entries.entries_for_callers(
            now_ms, "" if self.is_open else own
        )

    def _watch_stalls(self, now_ms: int) -> None:
        begun = self.stalls.watch(now_ms)
        if begun:
            self.notify_others()
            self.stalls.tell(begun)

    def notify_others(self) -> None:
        """Tells others of this node now."""
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
            tuple(self.stalls.here),
            tuple(self.stalls.progress.working(now_ms)),
        )
        if self.is_control:
            self.nodes.put(notice, now_ms)
            self._fresh_notices[notice.node_id] = notice
            self._pass_on_notices(now_ms)
            return
        batch = fleet.NodeNotices((notice,))
        connected = self._links.connected()
        # Two control nodes are told, so that the loss of one is not seen.
        told = [
            n
            for n in self._control_nodes.others_by_distance()
            if n in connected
        ]
        self._links.send_all(told[:2], _NOTICES, batch)

    def _pass_on_notices(self, now_ms: int) -> None:
        batch = fleet.NodeNotices(tuple(self._fresh_notices.values()))
        self._fresh_notices.clear()
        self._links.send_all(self._control_nodes.others(), _NOTICES, batch)
        summary = self.nodes.summary(now_ms, self._control_nodes.voters())
        self.entry_count = len(summary.open_entries)
        self._control_nodes.follow(summary.control_nodes)
        self._links.send_all(self._shared.followers, _SUMMARY, summary)

    def _listen(self, now_ms: int) -> None:
        """Counts the time for which this node hears of backend servers.

        A control node without a quorum refuses their reports, so that their
        silence towards it means nothing.
        """
        if self.is_control:
            is_connected = self._shared.has_quorum
            dependency = "quorum"
        else:
            is_connected = self._shared.upstream in self._links.connected()
            dependency = "control nodes"
        if is_connected is not self._is_connected:
            event = decisions.Event.LOST
            if is_connected:
                event = decisions.Event.REGAINED
            self._log.write(event, dependency=dependency)
        self._is_connected = is_connected
        if not is_connected:
            # What was last heard of the others says nothing any more.
            self.loads.set_fleet_totals({})
        self.table.advance_clock(now_ms, is_connected=is_connected)

    def _changed(self) -> None:
        self._pass_on()
        for listener in self.listeners:
            listener()

    def _pass_on(self) -> None:
        now_ms = self._clock.now_ms()
        news = self.table.pop_updates(now_ms)
        if not self.is_control:
            return
        followers = self._shared.followers
        new_followers = followers - self._told
        self._told = followers
        if new_followers:
            whole = self.table.snapshot(now_ms)
            self._links.send_all(new_followers, _REPORTS, whole)
        if news is not None:
            others = followers - new_followers
            others = others.union(self._control_nodes.others())
            self._links.send_all(others, _REPORTS, news)

    def _on_connected(self, peer: model.NodeId) -> None:
        # The follower may have missed what was sent on the link before.
        self._told -= {peer}
        if self.is_control and peer in self._control_nodes:
            whole = self.table.snapshot(self._clock.now_ms())
            self._links.send(peer, _REPORTS, whole)

    def _on_reports(
        self, sender: model.NodeId, batch: fleet.ReportBatch
    ) -> None:
        self.table.merge(batch, self._clock.now_ms())
        wanted = self.table.pop_wanted()
        if wanted is not None:
            self._links.send(sender, _WANTED, wanted)
        if batch.reports:
            self._changed()

    def _on_wanted(
        self, sender: model.NodeId, wanted: fleet.ReportsWanted
    ) -> None:
        batch = self.table.reports_for(wanted, self._clock.now_ms())
        if batch.reports:
            self._links.send(sender, _REPORTS, batch)

    def _on_notices(
        self, sender: model.NodeId, batch: fleet.NodeNotices
    ) -> None:
        now_ms = self._clock.now_ms()
        before = self.nodes.stalled(now_ms)
        has_closed = False
        for notice in batch.notices:
            was_open = self.nodes.is_open(notice.node_id, now_ms)
            if self.nodes.put(notice, now_ms):
                self._fresh_notices[notice.node_id] = notice
                has_closed |= was_open and not notice.is_open
        has_stalled = not self.nodes.stalled(now_ms) <= before
        if has_stalled or has_closed:
            # Callers must not be sent to an entry that stops.
            self._pass_on_notices(now_ms)
        if has_stalled:
            for listener in self.listeners:
                listener()

    def _on_summary(
        self, sender: model.NodeId, summary: fleet.FleetSummary
    ) -> None:
        now_ms = self._clock.now_ms()
        self._heard_entries.update(summary.open_entries, now_ms)
        self.entry_count = len(summary.open_entries)
        self.loads.set_fleet_totals(summary.in_flight)
        if self._first_summary_ms is None:
            self._first_summary_ms = now_ms
        self.stalls.tell(self.stalls.hear(summary.stalled, now_ms))
        if summary.control_nodes:
            self._control_nodes.follow(summary.control_nodes)

    def _note_server(self, report: model.ServerReport) -> None:
        self._log.write(
            decisions.Event.SERVER,
            server=report.server_id,
            service=report.service,
            state=report.state.value,
            membership=report.membership,
            staged=report.staged,
            loaded=report.loaded,
            sequence=report.sequence,
        )
