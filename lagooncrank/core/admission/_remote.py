"""What the other entries reported of their accounts."""

from collections.abc import Iterable
import dataclasses

from lagooncrank import model
from lagooncrank.core.admission import _types

#: A report older than this no longer counts.
REPORT_LIFETIME_MS = 1_500


@dataclasses.dataclass(slots=True)
class RemoteUse:
    """Use of one service by one account at all other entries."""

    running: int = 0
    running_weight: float = 0.0
    waiting_weight: float = 0.0

    def add(self, usage: _types.AccountUsage, sign: int) -> None:
        """Adds (`sign` 1) or takes away (`sign` -1) one entry's usage."""
        self.running += sign * usage.running
        self.running_weight += sign * usage.running_centiweight / 100
        self.waiting_weight += sign * usage.queued_centiweight / 100


class RemoteUsage:
    """Sums the latest report of each other entry."""

    def __init__(self) -> None:
        self._reports: dict[model.NodeId, tuple[_types.UsageReport, int]] = {}
        self._uses: dict[
            model.ServiceName, dict[model.ClientAccountId, RemoteUse]
        ] = {}

    @property
    def heard(self) -> int:
        """Number of other entries whose report counts."""
        return len(self._reports)

    def uses(
        self, service: model.ServiceName
    ) -> dict[model.ClientAccountId, RemoteUse]:
        """Returns the use of one service by account."""
        return self._uses.get(service, {})

    def observe(self, report: _types.UsageReport, now_ms: int) -> None:
        """Takes a report unless a newer one of that entry was taken."""
        known = self._reports.get(report.node_id)
        if known is not None and _order(known[0]) >= _order(report):
            return
        if known is not None:
            self._count(known[0].usages, -1)
        self._reports[report.node_id] = (report, now_ms)
        self._count(report.usages, 1)

    def expire(self, now_ms: int) -> None:
        """Drops the reports that are too old to count."""
        for report, heard_ms in tuple(self._reports.values()):
            if now_ms - heard_ms > REPORT_LIFETIME_MS:
                del self._reports[report.node_id]
                self._count(report.usages, -1)

    def _count(self, usages: Iterable[_types.AccountUsage], sign: int) -> None:
        for usage in usages:
            by_account = self._uses.setdefault(usage.service, {})
            use = by_account.setdefault(usage.account, RemoteUse())
            use.add(usage, sign)
            if use.running_weight < 0.005 and use.waiting_weight < 0.005:
                del by_account[usage.account]


def _order(report: _types.UsageReport) -> tuple[int, int]:
    return report.incarnation, report.sequence
