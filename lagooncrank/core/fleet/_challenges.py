"""Recognizes servers whose own reports are hidden by one of another writer.

Reports are ordered by the start of the process and by their sequence number. A
copy of a server's report with a higher number, from another writer, makes all
that the server itself sends count as older. But that writer does not go on as
the server does: if only older reports come, and each is newer than the one
before it, they are the server's.
"""

import dataclasses
from typing import Final

from lagooncrank import model

#: A report whose number is lower by more than this is not merely late: it would
#: have been on its way for a minute or more.
MAX_LATE_REPORTS: Final = 64
#: Fraction of the time until a server counts as unreachable over which its
#: hidden reports must be spread. Late reports often arrive together.
MIN_SPREAD_FRACTION: Final = 0.25


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class ReportVersion:
    """Position of a report in the order of all reports of its server."""

    born_ms: int
    sequence: int

    @classmethod
    def of(cls, report: model.ServerReport) -> "ReportVersion":
        """Returns the version of a report."""
        return cls(report.born_ms, report.sequence)


@dataclasses.dataclass(slots=True)
class _Challenge:
    """Reports that came after a server's record, and are older than it."""

    #: Version of the newest of them.
    newest: ReportVersion
    #: When the first of them came, in connected time.
    began_ms: int

    def continues_with(self, version: ReportVersion) -> bool:
        """Returns whether a report goes on from the newest of them."""
        is_same_process = version.born_ms == self.newest.born_ms
        return is_same_process and version > self.newest


class HiddenServers:
    """Servers of which another writer's report is recorded, or was.

    Times are those for which this node was connected.
    """

    def __init__(self, unreachable_after_ms: int) -> None:
        self._unreachable_after_ms = unreachable_after_ms
        self._min_spread_ms = min_spread_ms(unreachable_after_ms)
        self._challenges: dict[model.BackendServerId, _Challenge] = {}
        self._superseded: dict[model.BackendServerId, ReportVersion] = {}

    def superseded(
        self, server_id: model.BackendServerId
    ) -> ReportVersion | None:
        """Returns the version of another writer that hid a server, if any."""
        return self._superseded.get(server_id)

    def is_of_another_writer(self, report: model.ServerReport) -> bool:
        """Returns whether a report is known to hide its server."""
        known = self._superseded.get(report.server_id)
        return ReportVersion.of(report) == known

    def supersede(
        self, server_id: model.BackendServerId, version: ReportVersion
    ) -> None:
        """Records that a version is of another writer."""
        self._superseded[server_id] = version

    def end_challenge(self, server_id: model.BackendServerId) -> None:
        """Notes that a newer report was recorded: none is hidden."""
        self._challenges.pop(server_id, None)

    def forget(self, server_id: model.BackendServerId) -> None:
        """Forgets a server."""
        self._challenges.pop(server_id, None)
        self._superseded.pop(server_id, None)

    def is_hidden(
        self,
        report: model.ServerReport,
        recorded: model.ServerReport,
        now_ms: int,
        *,
        is_unreachable: bool,
    ) -> bool:
        """Notes an older report, and returns whether the server is hidden.

        Args:
            report: Report that came from the server itself.
            recorded: Newer report that is recorded.
            now_ms: Connected time.
            is_unreachable: Whether the record counts as unreachable by now.
        """
        version = ReportVersion.of(report)
        if recorded.state is not model.ServerState.READY:
            return False
        challenge = self._challenges.get(report.server_id)
        if challenge is None or challenge.newest.born_ms != version.born_ms:
            self._challenges[report.server_id] = _Challenge(version, now_ms)
            return False
        if not challenge.continues_with(version):
            return False
        challenge.newest = version
        lasts_ms = now_ms - challenge.began_ms
        if is_beyond_lateness(ReportVersion.of(recorded), version):
            return lasts_ms >= self._min_spread_ms
        # The last reports of a server that is lost may come seconds late.
        return is_unreachable and lasts_ms >= self._unreachable_after_ms


def min_spread_ms(unreachable_after_ms: int) -> int:
    """Returns over how long reports must be spread that are not merely late."""
    return int(unreachable_after_ms * MIN_SPREAD_FRACTION)


def is_beyond_lateness(recorded: ReportVersion, found: ReportVersion) -> bool:
    """Returns whether a process cannot have sent both versions so shortly.

    >>> is_beyond_lateness(ReportVersion(1, 2**40), ReportVersion(1, 9))
    True
    >>> is_beyond_lateness(ReportVersion(1, 12), ReportVersion(1, 9))
    False
    >>> is_beyond_lateness(ReportVersion(2, 2**40), ReportVersion(1, 9))
    False
    """
    is_same_process = recorded.born_ms == found.born_ms
    difference = recorded.sequence - found.sequence
    return is_same_process and difference > MAX_LATE_REPORTS
