"""Newest report of each backend server, whatever way reports come.

Reports arrive late, twice and by several nodes. The start time and the
sequence number of a server order its reports; once a start has said that it
leaves, no later word of it makes it ready again.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import Final

from lagooncrank import model

#: Time for which a server that is lost or gone is remembered, so that late
#: reports of it are recognised.
FORGET_AFTER_MS: Final = 60_000

#: A longer gap between two calls of `advance_clock` means that the node's own
#: process was paused.
MAX_TICK_MS: Final = 250

_LEAVING_ORDER: Final = {
    model.ServerState.READY: 0,
    model.ServerState.DRAINING: 1,
    model.ServerState.GONE: 2,
}


@dataclasses.dataclass(frozen=True, slots=True)
class AgedReport:
    """A report and how long ago it arrived at the system."""

    report: model.ServerReport
    age_ms: int
    #: Sequence of the first report with this content, as the sender knows.
    content_sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """A report that differs from the one before only by its sequence."""

    server_id: model.BackendServerId
    born_ms: int
    sequence: int
    age_ms: int
    #: Names the content that the report renews.
    content_sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReportsWanted:
    """Asks for the content of reports whose renewals say nothing here."""

    server_ids: tuple[model.BackendServerId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReportBatch:
    """Reports as nodes pass them on."""

    reports: tuple[AgedReport, ...]
    renewals: tuple[Renewal, ...] = ()


@dataclasses.dataclass(slots=True)
class ServerRecord:
    """What is known of one backend server."""

    report: model.ServerReport
    #: When the newest report arrived, on the own clock.
    last_seen_ms: int
    #: The same by the time for which this node has listened.
    last_seen_connected_ms: int
    #: Sequence of the first report with this content.
    content_sequence: int


class ServerTable:
    """Newest report of each backend server.

    Silence is measured by the time for which this node could listen: neither
    a pause of the node itself nor a lost link makes all servers look lost.
    """

    def __init__(self, unreachable_after_ms: int) -> None:
        """Prepares an empty table.

        Args:
            unreachable_after_ms: Silence after which a server counts as lost.
        """
        self._lost_after_ms = unreachable_after_ms
        self._servers: dict[model.BackendServerId, ServerRecord] = {}
        self._by_address: dict[str, model.BackendServerId] = {}
        self._listened_ms = 0
        #: When a server's start was last heard of for the first time.
        self.newest_start_ms = 0
        self._ticked_ms: int | None = None
        self._changed: set[model.BackendServerId] = set()
        self._renewed: set[model.BackendServerId] = set()
        self._wanted: set[model.BackendServerId] = set()

    def put(
        self,
        report: model.ServerReport,
        last_seen_ms: int,
        content_sequence: int | None = None,
    ) -> bool:
        """Takes a report.

        Args:
            report: The report.
            last_seen_ms: When it arrived at the system.
            content_sequence: Sequence of the first report with its content;
                None if it came from the server itself.

        Returns:
            Whether it says more than that the server lives.
        """
        if self._is_outdated(report):
            return False
        known = self._servers.get(report.server_id)
        held = known.report if known is not None else None
        if held is not None and held.start == report.start:
            report = _never_back(held, report)
        if held is None or held.start != report.start:
            self.newest_start_ms = max(self.newest_start_ms, last_seen_ms)
        is_renewed = held is not None and _differ_by_sequence_only(held, report)
        if content_sequence is None:
            content_sequence = report.sequence
            if is_renewed and known is not None:
                content_sequence = known.content_sequence
        age_ms = self._age_ms(last_seen_ms)
        self._servers[report.server_id] = ServerRecord(
            report, last_seen_ms, self._listened_ms - age_ms, content_sequence
        )
        self._take_address(report)
        if is_renewed:
            self._renewed.add(report.server_id)
            return False
        self._changed.add(report.server_id)
        return True

    def renew(self, renewal: Renewal, last_seen_ms: int) -> None:
        """Takes a report without its content.

        It renews nothing if this node missed the content: what it holds
        would look fresh though the server has said otherwise since.
        """
        known = self._servers.get(renewal.server_id)
        if known is None or known.report.born_ms != renewal.born_ms:
            self._wanted.add(renewal.server_id)
            return
        if known.report.sequence >= renewal.sequence:
            return
        if known.content_sequence != renewal.content_sequence:
            self._wanted.add(renewal.server_id)
            return
        report = dataclasses.replace(known.report, sequence=renewal.sequence)
        self.put(report, last_seen_ms, renewal.content_sequence)

    def pop_wanted(self) -> ReportsWanted | None:
        """Returns what the last batch left unknown, to ask its sender."""
        if not self._wanted:
            return None
        wanted = ReportsWanted(tuple(sorted(self._wanted)))
        self._wanted.clear()
        return wanted

    def reports_for(self, wanted: ReportsWanted, now_ms: int) -> ReportBatch:
        """Returns the reports that another node asks for."""
        found = [self._servers.get(s) for s in wanted.server_ids]
        return ReportBatch(tuple(_aged(k, now_ms) for k in found if k))

    def merge(self, batch: ReportBatch, now_ms: int) -> None:
        """Takes what another node passed on."""
        for aged in batch.reports:
            last_seen_ms = now_ms - aged.age_ms
            self.put(aged.report, last_seen_ms, aged.content_sequence)
        for renewal in batch.renewals:
            self.renew(renewal, now_ms - renewal.age_ms)

    def deregister(
        self, server_id: model.BackendServerId, born_ms: int | None, now_ms: int
    ) -> bool:
        """Notes that a server took itself off; whether it was known."""
        known = self._servers.get(server_id)
        if known is None:
            return False
        if born_ms is not None and born_ms != known.report.born_ms:
            return False
        report = dataclasses.replace(
            known.report,
            state=model.ServerState.GONE,
            sequence=known.report.sequence + 1,
        )
        self.put(report, now_ms)
        return True

    def get(self, server_id: model.BackendServerId) -> ServerRecord | None:
        """Returns what is known of a server."""
        return self._servers.get(server_id)

    def mark_unreachable(self, server_id: model.BackendServerId) -> None:
        """Counts a server as lost until its next report."""
        known = self._servers.get(server_id)
        if known is not None:
            known.last_seen_connected_ms = (
                self._listened_ms - self._lost_after_ms
            )

    def advance_clock(self, now_ms: int, *, is_connected: bool) -> None:
        """Counts the time since the last call as listened to if connected."""
        if self._ticked_ms is not None and is_connected:
            passed_ms = now_ms - self._ticked_ms
            self._listened_ms += min(passed_ms, MAX_TICK_MS)
        self._ticked_ms = now_ms

    @property
    def connected_ms(self) -> int:
        """Time for which this node could hear of servers."""
        return self._listened_ms

    @property
    def is_warmed_up(self) -> bool:
        """Whether a server that is unknown would have been heard by now."""
        return self._listened_ms >= self._lost_after_ms

    def is_unreachable(self, known: ServerRecord) -> bool:
        """Whether a server was not heard for too long."""
        silent_ms = self._listened_ms - known.last_seen_connected_ms
        return silent_ms >= self._lost_after_ms

    def is_replaced(self, known: ServerRecord) -> bool:
        """Whether a later start of a server holds this one's address."""
        holder = self._holder(known.report.address)
        return holder is not None and holder.server_id != known.report.server_id

    def is_ready(self, known: ServerRecord) -> bool:
        """Whether a server may be given new work."""
        is_ready = known.report.state is model.ServerState.READY
        return is_ready and not self.is_unreachable(known)

    def ready(self, service: model.ServiceName) -> Iterator[ServerRecord]:
        """Yields the servers of a service that may be given new work."""
        for known in self._servers.values():
            if known.report.service == service and self.is_ready(known):
                yield known

    def all(self) -> Iterable[ServerRecord]:
        """Returns every server that is remembered."""
        return self._servers.values()

    def snapshot(self, now_ms: int) -> ReportBatch:
        """Returns all that is known, for a node that knows nothing."""
        return ReportBatch(
            tuple(_aged(k, now_ms) for k in self._servers.values())
        )

    def pop_updates(self, now_ms: int) -> ReportBatch | None:
        """Returns what came since the last call, to be passed on."""
        if not self._changed and not self._renewed:
            return None
        changed = [self._servers[i] for i in self._changed]
        renewed = [self._servers[i] for i in self._renewed - self._changed]
        self._changed.clear()
        self._renewed.clear()
        return ReportBatch(
            tuple(_aged(k, now_ms) for k in changed),
            tuple(_renewal(k, now_ms) for k in renewed),
        )

    def evict_expired(self, now_ms: int) -> None:
        """Drops servers that have been silent for long."""
        old = [
            server_id
            for server_id, known in self._servers.items()
            if now_ms - known.last_seen_ms > FORGET_AFTER_MS
            and self.is_unreachable(known)
        ]
        for server_id in old:
            address = self._servers.pop(server_id).report.address
            self._changed.discard(server_id)
            self._renewed.discard(server_id)
            if self._by_address.get(address) == server_id:
                del self._by_address[address]

    def _age_ms(self, last_seen_ms: int) -> int:
        if self._ticked_ms is None:
            return 0
        return max(self._ticked_ms - last_seen_ms, 0)

    def _is_outdated(self, report: model.ServerReport) -> bool:
        known = self._servers.get(report.server_id)
        if known is not None:
            held = known.report
            order = (report.born_ms, report.sequence)
            return order <= (held.born_ms, held.sequence)
        holder = self._holder(report.address)
        # The address was given to a server that started later.
        return holder is not None and holder.born_ms > report.born_ms

    def _holder(self, address: str) -> model.ServerReport | None:
        server_id = self._by_address.get(address)
        return None if server_id is None else self._servers[server_id].report

    def _take_address(self, report: model.ServerReport) -> None:
        holder = self._holder(report.address)
        if holder is not None and holder.server_id != report.server_id:
            if holder.born_ms > report.born_ms:
                return
            self.deregister(holder.server_id, None, self._ticked_ms or 0)
        self._by_address[report.address] = report.server_id


def _never_back(
    held: model.ServerReport, report: model.ServerReport
) -> model.ServerReport:
    """Keeps a start that said it leaves from becoming ready again."""
    if _LEAVING_ORDER[held.state] <= _LEAVING_ORDER[report.state]:
        return report
    return dataclasses.replace(report, state=held.state)


def _differ_by_sequence_only(
    held: model.ServerReport, report: model.ServerReport
) -> bool:
    return dataclasses.replace(held, sequence=report.sequence) == report


def _aged(known: ServerRecord, now_ms: int) -> AgedReport:
    return AgedReport(
        known.report, now_ms - known.last_seen_ms, known.content_sequence
    )


def _renewal(known: ServerRecord, now_ms: int) -> Renewal:
    report = known.report
    return Renewal(
        report.server_id,
        report.born_ms,
        report.sequence,
        now_ms - known.last_seen_ms,
        known.content_sequence,
    )
