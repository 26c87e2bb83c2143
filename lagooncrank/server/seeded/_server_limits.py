"""Keeps the requests of all entries within the limits that servers state.

Entries tell all nodes about limits. For each limited process one control node
issues permits; an entry that reaches no control node issues its own share.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Final

import mode

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank.core import dispatch
from lagooncrank.core import limits
from lagooncrank.core import responders
from lagooncrank.server import links as peer_links
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _step_guard

#: Interval at which permits go to entries that wait for them.
ISSUE_INTERVAL_S: Final = 0.02
EVICTION_INTERVAL_S: Final = 10.0

_LIMITS: Final = "server-limits"
_REQUESTS: Final = "permit-requests"
_GRANTS: Final = "permit-grants"


class ServerLimits(mode.Service):  # type: ignore[misc, unused-ignore]
    """Limits of all servers, and this node's part in issuing permits."""

    def __init__(
        self,
        node_id: model.NodeId,
        view: _fleet_view.FleetView,
        links: peer_links.Links,
        clock: clocks.Clock,
        observed_clock: observed_time.ObservedClock,
        log: _decision_log.DecisionLog,
    ) -> None:
        super().__init__()
        self._node_id = node_id
        self._view = view
        self._links = links
        self._clock = clock
        self._unix_time = clocks.LatestUnixTime(clock)
        self._observed_clock = observed_clock
        self._log = log
        self._guard = _step_guard.StepGuard(log)
        self.table = limits.LimitTable()
        self._issuer = limits.PermitIssuer()
        #: Issues to this entry only, while no control node does.
        self._own_issuer = limits.PermitIssuer.for_one_of(1)
        self._client = limits.PermitClient(node_id, self.table)
        #: Called after permits have arrived or limits have changed.
        self.listeners: list[Callable[[], None]] = []
        #: Counts permits by what became of them, for metrics.
        self.count_permits: Callable[[str, int], None] = lambda *_: None
        #: Processes that have stated a limit that cannot be read.
        self._invalid: collections.OrderedDict[limits.Process, None] = (
            collections.OrderedDict()
        )
        self._next_issue: asyncio.TimerHandle | None = None
        links.on_message(_LIMITS, limits.LimitReports, self._on_reports)
        links.on_message(_REQUESTS, limits.PermitRequests, self._on_requests)
        links.on_message(_GRANTS, limits.PermitGrants, self._on_grants)
        links.on_connected(self._on_connected)
        view.listeners.append(self._adopt_limits)

    def record_response(
        self,
        target: dispatch.Target,
        stated: limits.StatedLimit,
        sent_ms: int,
    ) -> None:
        """Records what a response says about its server's limit.

        Args:
            target: The server.
            stated: Its limit according to the response.
            sent_ms: When the request was sent.
        """
        process = _process(target)
        if stated.kind is limits.LimitKind.INVALID:
            self._record_invalid(process)
            return
        now_ms = self._clock.now_ms()
        if self.table.record_response(process, stated, sent_ms, now_ms):
            self._on_changed([process])
            self._publish()

    @property
    def has_limits(self) -> bool:
        """Whether any server limits its requests."""
        return bool(self.table.limited)

    def is_limited(self, target: dispatch.Target) -> bool:
        """Returns whether a server has a limit."""
        return self.table.rate_per_s(_process(target)) is not None

    def permits(self, target: dispatch.Target) -> int:
        """Returns the permits that this entry holds for a server."""
        return self._client.count(_process(target), self._clock.now_ms())

    def use_permit(self, target: dispatch.Target) -> None:
        """Uses a permit, if a server needs one, for a request to it."""
        if self._client.use(_process(target), self._clock.now_ms()):
            self.count_permits("used", 1)

    def wait_ms(self, targets: Iterable[dispatch.Target]) -> int:
        """Returns the estimated time until a permit for any server comes."""
        now_ms = self._clock.now_ms()
        return min(
            (self._client.wait_ms(_process(t), now_ms) for t in targets),
            default=0,
        )

    def request_permits(
        self, targets: Iterable[dispatch.Target], needed: int
    ) -> None:
        """Requests permits for limited servers, unless enough are requested.

        Args:
            targets: The servers, all of them limited.
            needed: Number of requests that permits are needed for.
        """
        batches = self._client.request(
            [_process(t) for t in targets],
            needed,
            self._view.connected_control_nodes(),
            self._clock.now_ms(),
            self._observed_clock.now_ms(),
        )
        for issuer, batch in batches.items():
            if issuer == self._node_id:
                self._own_issuer.set_entry_count(self._entry_count())
                self._issue_to_self(batch)
            else:
                self._links.send(issuer, _REQUESTS, batch)
        if expired := self._client.pop_expired():
            self.count_permits("expired", expired)

    def _entry_count(self) -> int:
        """Returns the number of entries that may issue at the same time."""
        count = self._view.sharing_entries.count(self._clock.now_ms())
        return dispatch.ASSUMED_ENTRIES if count is None else count

    def _on_requests(
        self, sender: model.NodeId, batch: limits.PermitRequests
    ) -> None:
        now_ms = self._clock.now_ms()
        self._merge(request.limit for request in batch.requests)
        withdrawn = tuple(
            self.table.report(request.limit.process, now_ms)
            for request in batch.requests
            if self.table.rate_per_s(request.limit.process) is None
        )
        if withdrawn:
            self._links.send(sender, _LIMITS, limits.LimitReports(withdrawn))
        self._send_permits(
            self._issuer.request_all(sender, batch, self.table.limited, now_ms)
        )
        self._publish()
        self._schedule_issue()

    def _issue_to_self(self, batch: limits.PermitRequests) -> None:
        now_ms = self._clock.now_ms()
        issued = self._own_issuer.request_all(
            self._node_id, batch, self.table.limited, now_ms
        )
        self._add_own_permits(issued)
        self._schedule_issue()

    def _add_own_permits(self, issued: Iterable[limits.IssuedPermits]) -> None:
        grants = tuple(permits.grant for permits in issued)
        if grants:
            self.count_permits("issued", sum(grant.count for grant in grants))
            self._on_grants(self._node_id, limits.PermitGrants(grants))

    def _send_permits(self, issued: Iterable[limits.IssuedPermits]) -> None:
        batches: dict[model.NodeId, list[limits.PermitGrant]] = {}
        for permits in issued:
            batches.setdefault(permits.entry, []).append(permits.grant)
        for entry, found in batches.items():
            grants = limits.PermitGrants(tuple(found))
            count = sum(grant.count for grant in found)
            if count:
                self.count_permits("issued", count)
            self._links.send(entry, _GRANTS, grants)

    def _schedule_issue(self) -> None:
        has_waiting = self._issuer.has_waiting or self._own_issuer.has_waiting
        if self._next_issue is None and has_waiting:
            loop = asyncio.get_running_loop()
            self._next_issue = loop.call_later(ISSUE_INTERVAL_S, self._issue)

    def _issue(self) -> None:
        self._next_issue = None
        self._guard.run("permits", self._issue_due)
        self._schedule_issue()

    def _issue_due(self) -> None:
        now_ms = self._clock.now_ms()
        self._send_permits(self._issuer.collect(self.table.limited, now_ms))
        self._add_own_permits(
            self._own_issuer.collect(self.table.limited, now_ms)
        )

    def _on_grants(
        self, sender: model.NodeId, batch: limits.PermitGrants
    ) -> None:
        self._client.record_response(sender)
        self._client.add(batch, self._clock.now_ms())
        if any(grant.count for grant in batch.grants):
            self._notify()

    def _on_reports(
        self, sender: model.NodeId, batch: limits.LimitReports
    ) -> None:
        self._client.record_response(sender)
        self._merge(batch.reports)
        if self._view.is_control:
            self._publish()

    def _merge(self, reports: Iterable[limits.LimitReport]) -> None:
        changed = self.table.merge(
            reports, self._clock.now_ms(), is_relay=self._view.is_control
        )
        if changed:
            self._on_changed(changed)

    def _on_changed(self, processes: Iterable[limits.Process]) -> None:
        for process in processes:
            rate_per_s = self.table.rate_per_s(process)
            if rate_per_s is None:
                self._client.forget(process)
            server_id, born_ms = process
            self._log.write(
                decisions.Event.LIMIT,
                server=server_id,
                born_ms=born_ms,
                rate_per_s=rate_per_s,
            )
        self._notify()

    def _adopt_limits(self) -> None:
        """Limits new processes that may have stated a limit already."""
        adopted = [p for p in self._new_processes() if self._may_adopt(p)]
        if adopted:
            self._on_changed(adopted)
            self._publish()

    def _new_processes(self) -> Iterator[limits.Process]:
        """Yields the newest processes of servers that had a limit before."""
        for server_id, born_ms in tuple(self.table.limited):
            record = self._view.table.get(server_id)
            if record is not None and record.report.born_ms > born_ms:
                yield server_id, record.report.born_ms

    def _may_adopt(self, process: limits.Process) -> bool:
        _, born_ms = process
        age_ms = self._unix_time.now_ms() - born_ms
        started_ms = self._clock.now_ms() - age_ms
        return self.table.adopt(
            process, started_ms - responders.CLOCK_TOLERANCE_MS
        )

    def _notify(self) -> None:
        for listener in self.listeners:
            listener()

    def _publish(self) -> None:
        batch = self.table.pop_unsent(self._clock.now_ms())
        if batch.reports:
            recipients = self._view.news_recipients()
            self._links.send_all(recipients, _LIMITS, batch)

    def _on_connected(self, peer: model.NodeId) -> None:
        # The peer may have restarted, or missed limits while disconnected.
        batch = self.table.all_reports(self._clock.now_ms())
        if batch.reports:
            self._links.send(peer, _LIMITS, batch)

    def _record_invalid(self, process: limits.Process) -> None:
        if process in self._invalid:
            return
        self._invalid[process] = None
        if len(self._invalid) > limits.MAX_PROCESSES:
            self._invalid.popitem(last=False)
        server_id, born_ms = process
        self._log.write(
            decisions.Event.LIMIT_INVALID, server=server_id, born_ms=born_ms
        )

    @mode.Service.timer(EVICTION_INTERVAL_S)  # type: ignore[misc, unused-ignore]
    async def _evict_periodically(self) -> None:
        self._guard.run("expired limits", self.evict_expired)

    def evict_expired(self) -> None:
        """Forgets limits that nobody has confirmed for long."""
        now_ms = self._clock.now_ms()
        for process in self.table.evict_expired(now_ms):
            self._client.forget(process)
        self._issuer.evict_unused(now_ms)
        self._own_issuer.evict_unused(now_ms)


def _process(target: dispatch.Target) -> limits.Process:
    return target.server_id, target.born_ms
