"""Newest report of each backend server.

Reports may arrive late, more than once and through several nodes. They are
ordered by the start time of the server's process and by their sequence number.
Once a process has reported that it leaves, no later report of that process
makes it ready again.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import Final

from lagooncrank import model
from lagooncrank.core.fleet import _addresses
from lagooncrank.core.fleet import _challenges
from lagooncrank.core.fleet import _departures
from lagooncrank.core.fleet import _report_batches

#: Time for which the record of an unreachable or stopped server is retained, so
#: that late reports of it are recognized.
RETAIN_MS: Final = 60_000


@dataclasses.dataclass(slots=True)
class ServerRecord:
    """Newest report of one backend server, with the times of its receipt."""

    report: model.ServerReport
    #: When the system received the report, on this node's monotonic clock.
    last_seen_ms: int
    #: The same time on the clock `ServerTable.connected_ms`.
    last_seen_connected_ms: int
    #: Sequence number of the first report with this content.
    content_sequence: int
    #: Whether the server did not respond to this node since the report.
    is_unresponsive: bool = False


class ServerTable:
    """Newest report of each backend server.

    A server is unreachable if it sent no report for too long. Only time during
    which this node was running and connected counts, so that neither a pause of
    this node nor a lost link makes all servers look unreachable.
    """

    def __init__(self, unreachable_after_ms: int) -> None:
        """Creates an empty table.

        Args:
            unreachable_after_ms: Connected time without a report after which a
                server counts as unreachable.
        """
        self._unreachable_after_ms = unreachable_after_ms
        self._servers: dict[model.BackendServerId, ServerRecord] = {}
        self._addresses = _addresses.AddressHolders(unreachable_after_ms)
        #: Processes that leave; their reports may come late.
        self.departures = _departures.Departures()
        self._hidden = _challenges.HiddenServers(unreachable_after_ms)
        self._connected_ms = 0
        #: When the newest process of any server was first reported.
        self.newest_start_ms = 0
        self._advanced_ms: int | None = None
        self._observed_ms = 0
        self._changed: set[model.BackendServerId] = set()
        self._renewed: set[model.BackendServerId] = set()
        self._wanted: set[model.BackendServerId] = set()

    def put(
        self,
        report: model.ServerReport,
        received_ms: int,
        content_sequence: int | None = None,
        supersedes: _challenges.ReportVersion | None = None,
    ) -> bool:
        """Stores a report, unless a newer one is known.

        Args:
            report: The report.
            received_ms: When the system received it, on this node's clock.
            content_sequence: Sequence number of the first report with the same
                content; None if the report came from the server itself.
            supersedes: Version of another writer that it takes the place of.

        Returns:
            Whether the content of the report is new.
        """
        report = self.departures.apply(report)
        record = self._servers.get(report.server_id)
        if self._hidden.is_of_another_writer(report):
            return False
        if content_sequence is None and record is not None:
            supersedes = self._find_superseded(record, report)
        was_hidden = self._supersede(record, report, supersedes)
        if not was_hidden and self._is_outdated(report):
            if record is None or not _announces_leaving(record.report, report):
                return False
            # The node that received the deregistration had no newer report.
            report = dataclasses.replace(record.report, state=report.state)
            received_ms = max(received_ms, record.last_seen_ms)
            content_sequence = None
        return self._store(
            record, report, received_ms, content_sequence, was_hidden=was_hidden
        )

    def _store(
        self,
        record: ServerRecord | None,
        report: model.ServerReport,
        received_ms: int,
        content_sequence: int | None,
        *,
        was_hidden: bool,
    ) -> bool:
        """Replaces the record of a server by a report that is newer.

        Returns:
            Whether the content of the report is new.
        """
        previous = record.report if record is not None else None
        if (
            previous is not None
            and previous.incarnation_id == report.incarnation_id
        ):
            report = _retain_leaving_state(previous, report)
            report = _retain_loaded_models(previous, report)
        else:
            self.newest_start_ms = max(self.newest_start_ms, received_ms)
        is_renewed = previous is not None and _differ_by_sequence_only(
            previous, report
        )
        if content_sequence is None:
            content_sequence = report.sequence
            if is_renewed and record is not None:
                content_sequence = record.content_sequence
        self.departures.record_report(report)
        self._hidden.end_challenge(report.server_id)
        age_ms = self._age_ms(received_ms)
        self._release_address(report.server_id)
        self._servers[report.server_id] = ServerRecord(
            report, received_ms, self._connected_ms - age_ms, content_sequence
        )
        if self._may_have_address(report):
            self._addresses.assign(report)
        if is_renewed and not was_hidden:
            self._renewed.add(report.server_id)
            return False
        self._changed.add(report.server_id)
        return True

    def renew(self, renewal: _report_batches.Renewal, received_ms: int) -> None:
        """Applies a report that was sent without its content.

        If this node missed the content, the renewal is not applied, as it would
        make outdated content look current; the content is requested instead.
        """
        record = self._servers.get(renewal.server_id)
        if record is None or record.report.born_ms != renewal.born_ms:
            self._wanted.add(renewal.server_id)
            return
        if record.report.sequence >= renewal.sequence:
            return
        if record.content_sequence != renewal.content_sequence:
            self._wanted.add(renewal.server_id)
            return
        report = dataclasses.replace(record.report, sequence=renewal.sequence)
        self.put(report, received_ms, renewal.content_sequence)

    def pop_wanted(self) -> _report_batches.ReportsWanted | None:
        """Removes and returns the request for content that renewals lacked."""
        if not self._wanted:
            return None
        wanted = _report_batches.ReportsWanted(tuple(sorted(self._wanted)))
        self._wanted.clear()
        return wanted

    def reports_for(
        self, wanted: _report_batches.ReportsWanted, now_ms: int
    ) -> _report_batches.ReportBatch:
        """Returns the reports that another node requested."""
        found = [self._servers.get(s) for s in wanted.server_ids]
        return _report_batches.ReportBatch(
            tuple(self._aged(r, now_ms) for r in found if r)
        )

    def merge(self, batch: _report_batches.ReportBatch, now_ms: int) -> None:
        """Applies a batch that another node passed on."""
        for aged in batch.reports:
            received_ms = now_ms - aged.age_ms
            self.put(
                aged.report, received_ms, aged.content_sequence, aged.supersedes
            )
        for renewal in batch.renewals:
            self.renew(renewal, now_ms - renewal.age_ms)

    def deregister(
        self, server_id: model.BackendServerId, born_ms: int | None, now_ms: int
    ) -> bool:
        """Marks a server as gone, at its own request.

        Args:
            server_id: The server.
            born_ms: Start time of the process that leaves; None for any.
            now_ms: Monotonic time in milliseconds.

        Returns:
            Whether such a process was known.
        """
        if born_ms is not None:
            # Its first report since a restart of this node may come later.
            self.departures.record(
                _departures.Departure(
                    server_id, born_ms, model.ServerState.GONE
                )
            )
        record = self._servers.get(server_id)
        if record is None:
            return False
        if born_ms is not None and born_ms != record.report.born_ms:
            return False
        report = dataclasses.replace(
            record.report,
            state=model.ServerState.GONE,
            sequence=record.report.sequence + 1,
        )
        self.put(report, now_ms)
        return True

    def get(self, server_id: model.BackendServerId) -> ServerRecord | None:
        """Returns the record of a server, or None if there is none."""
        return self._servers.get(server_id)

    def mark_unreachable(
        self, server_id: model.BackendServerId, born_ms: int | None = None
    ) -> None:
        """Makes a server count as unreachable until its next report.

        Args:
            server_id: The server.
            born_ms: Start of the process that did not respond; None for any.
        """
        record = self._servers.get(server_id)
        if record is None:
            return
        if born_ms in (None, record.report.born_ms):
            record.is_unresponsive = True
            record.last_seen_connected_ms = (
                self._connected_ms - self._unreachable_after_ms
            )

    def advance_clock(
        self, now_ms: int, observed_ms: int, *, is_connected: bool
    ) -> None:
        """Adds the observed time since the last call to the connected time.

        Args:
            now_ms: Monotonic time in milliseconds, which dates reports.
            observed_ms: Time in which this node could read reports.
            is_connected: Whether reports could reach this node; if not, the
                time is not added.
        """
        if self._advanced_ms is not None and is_connected:
            self._connected_ms += observed_ms - self._observed_ms
        self._advanced_ms = now_ms
        self._observed_ms = observed_ms

    @property
    def connected_ms(self) -> int:
        """Time during which this node was able to receive reports."""
        return self._connected_ms

    @property
    def is_warmed_up(self) -> bool:
        """Whether every running server should have been reported by now."""
        return self._connected_ms >= self._unreachable_after_ms

    def is_unreachable(self, record: ServerRecord) -> bool:
        """Returns whether a server sent no report for too long."""
        unreported_ms = self._connected_ms - record.last_seen_connected_ms
        return unreported_ms >= self._unreachable_after_ms

    def is_lost(self, record: ServerRecord) -> bool:
        """Returns whether an unreachable server could have reported here.

        Reports that another node passes on after a restart may be old only
        because that node was partitioned.
        """
        is_certain = self.is_warmed_up or record.is_unresponsive
        return is_certain and self.is_unreachable(record)

    def is_replaced(self, record: ServerRecord) -> bool:
        """Returns whether another server has since taken over the address."""
        holder = self._addresses.holder(record.report.address)
        return holder not in (None, record.report.server_id)

    def is_leaving(self, record: ServerRecord) -> bool:
        """Returns whether a server has announced to leave, or is replaced."""
        is_staying = record.report.state is model.ServerState.READY
        return not is_staying or self.is_replaced(record)

    def is_ready(self, record: ServerRecord) -> bool:
        """Returns whether a server may receive new requests."""
        return not (self.is_leaving(record) or self.is_unreachable(record))

    def ready(self, service: model.ServiceName) -> Iterator[ServerRecord]:
        """Yields the servers of a service that may receive new requests."""
        for record in self._servers.values():
            if record.report.service == service and self.is_ready(record):
                yield record

    def ready_services(self) -> set[model.ServiceName]:
        """Returns the services that have a server which accepts requests."""
        return {r.report.service for r in self.all() if self.is_ready(r)}

    def all(self) -> Iterable[ServerRecord]:
        """Returns the records of all servers."""
        return self._servers.values()

    def snapshot(self, now_ms: int) -> _report_batches.ReportBatch:
        """Returns all reports, for a node that has none yet."""
        return _report_batches.ReportBatch(
            tuple(self._aged(r, now_ms) for r in self._servers.values())
        )

    def pop_updates(self, now_ms: int) -> _report_batches.ReportBatch | None:
        """Returns the changes since the last call, to be passed on."""
        if not self._changed and not self._renewed:
            return None
        # A node that holds the report of another writer needs more than the
        # number of the server's own.
        self._changed.update(i for i in self._renewed if self.superseded(i))
        changed = [self._servers[i] for i in self._changed]
        renewed = [self._servers[i] for i in self._renewed - self._changed]
        self._changed.clear()
        self._renewed.clear()
        return _report_batches.ReportBatch(
            tuple(self._aged(r, now_ms) for r in changed),
            tuple(_renewal(r, now_ms) for r in renewed),
        )

    def evict_expired(self, now_ms: int) -> None:
        """Removes the records of servers without a report for a long time."""
        expired = [
            server_id
            for server_id, record in self._servers.items()
            if now_ms - record.last_seen_ms > RETAIN_MS
            and self.is_unreachable(record)
        ]
        for server_id in expired:
            self._release_address(server_id)
            self._hidden.forget(server_id)
            del self._servers[server_id]
            self._changed.discard(server_id)
            self._renewed.discard(server_id)

    def _aged(
        self, record: ServerRecord, now_ms: int
    ) -> _report_batches.AgedReport:
        return _report_batches.AgedReport(
            record.report,
            now_ms - record.last_seen_ms,
            record.content_sequence,
            self.superseded(record.report.server_id),
        )

    def _age_ms(self, received_ms: int) -> int:
        if self._advanced_ms is None:
            return 0
        return max(self._advanced_ms - received_ms, 0)

    def superseded(
        self, server_id: model.BackendServerId
    ) -> _challenges.ReportVersion | None:
        """Returns the version of another writer that hid a server, if any."""
        return self._hidden.superseded(server_id)

    def _find_superseded(
        self, record: ServerRecord, report: model.ServerReport
    ) -> _challenges.ReportVersion | None:
        """Returns the version of the record if it hides the server's report."""
        recorded = _challenges.ReportVersion.of(record.report)
        if _challenges.ReportVersion.of(report) >= recorded:
            return None
        is_hidden = self._hidden.is_hidden(
            report,
            record.report,
            self._connected_ms,
            is_unreachable=self.is_unreachable(record),
        )
        return recorded if is_hidden else None

    def _supersede(
        self,
        record: ServerRecord | None,
        report: model.ServerReport,
        supersedes: _challenges.ReportVersion | None,
    ) -> bool:
        """Notes a version of another writer; returns whether it is recorded."""
        if supersedes is None:
            return False
        self._hidden.supersede(report.server_id, supersedes)
        return (
            record is not None
            and _challenges.ReportVersion.of(record.report) == supersedes
        )

    def _is_outdated(self, report: model.ServerReport) -> bool:
        record = self._servers.get(report.server_id)
        if record is not None:
            previous = record.report
            order = (report.born_ms, report.sequence)
            return order <= (previous.born_ms, previous.sequence)
        # The address may be that of a server that started later.
        return not self._may_have_address(report)

    def _may_have_address(self, report: model.ServerReport) -> bool:
        """Returns whether a server gets the address that it reports."""
        server_id = self._addresses.holder(report.address)
        holder = None if server_id is None else self._servers[server_id]
        if holder is None or server_id == report.server_id:
            return True
        return self._addresses.may_assign(
            report,
            holder.report,
            self._connected_ms,
            is_holder_unreachable=self.is_unreachable(holder),
        )

    def _release_address(self, server_id: model.BackendServerId) -> None:
        """Forgets the address at which a server was last reported."""
        record = self._servers.get(server_id)
        if record is None:
            return
        self._addresses.release(record.report)


def _announces_leaving(
    previous: model.ServerReport, report: model.ServerReport
) -> bool:
    """Returns whether a report is the first to say that a process leaves."""
    if previous.incarnation_id != report.incarnation_id:
        return False
    rank = _departures.leaving_rank(report.state)
    return rank > _departures.leaving_rank(previous.state)


def _retain_leaving_state(
    previous: model.ServerReport, report: model.ServerReport
) -> model.ServerReport:
    """Returns the report with its state replaced by the previous one if needed.

    A process that reported that it leaves must not become ready again.
    """
    rank = _departures.leaving_rank(report.state)
    if _departures.leaving_rank(previous.state) <= rank:
        return report
    return dataclasses.replace(report, state=previous.state)


def _retain_loaded_models(
    previous: model.ServerReport, report: model.ServerReport
) -> model.ServerReport:
    """Returns the report with the previous weights of an idle engine.

    An engine without a group reports no loaded model, although it keeps the
    weights of its last group in memory until it joins another one.
    """
    if report.loaded or report.membership is not None:
        return report
    return dataclasses.replace(report, loaded=previous.loaded)


def _differ_by_sequence_only(
    previous: model.ServerReport, report: model.ServerReport
) -> bool:
    return dataclasses.replace(previous, sequence=report.sequence) == report


def _renewal(record: ServerRecord, now_ms: int) -> _report_batches.Renewal:
    report = record.report
    return _report_batches.Renewal(
        report.server_id,
        report.born_ms,
        report.sequence,
        now_ms - record.last_seen_ms,
        record.content_sequence,
    )
