"""What the other entries reported of their accounts."""

from collections.abc import Iterable
import dataclasses

from lagooncrank import model
from lagooncrank.core.admission import _types

#: A report older than this no longer counts as it is.
REPORT_LIFETIME_MS = 1_000
#: Until a report is so old it does not count at all: its entry may be gone,
#: and the engines' reports do not tell yet.
UNCLEAR_LIFETIME_MS = 3_000
#: A report older than this is dropped.
LAPSED_LIFETIME_MS = 60_000


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
        self.waiting_weight += sign * usage.wanted_centiweight / 100


#: Use by account.
Uses = dict[model.ClientAccountId, RemoteUse]


class RemoteUsage:
    """Sums the latest report of each other entry.

    An entry that falls silent may be gone or only cut off. What it reported
    last is kept apart, as lapsed, until it is too old to mean anything. For
    the first seconds it is not counted: refusing work that a gone entry's
    callers bring is worse than a short overload of the engines' queues.
    """

    def __init__(self) -> None:
        self._reports: dict[model.NodeId, tuple[_types.UsageReport, int]] = {}
        self._fresh: dict[model.ServiceName, Uses] = {}
        self._lapsed: dict[model.ServiceName, Uses] = {}
        #: Where each entry's report is counted; None while it is unclear.
        self._counted_in: dict[
            model.NodeId, dict[model.ServiceName, Uses] | None
        ] = {}

    @property
    def known(self) -> int:
        """Number of other entries that reported, lapsed ones included."""
        return len(self._reports)

    def fresh(self, service: model.ServiceName) -> Uses:
        """Returns the use by entries that were heard lately."""
        return self._fresh.get(service, {})

    def lapsed(self, service: model.ServiceName) -> Uses:
        """Returns the last known use by entries that fell silent."""
        return self._lapsed.get(service, {})

    def observe(self, report: _types.UsageReport, now_ms: int) -> None:
        """Takes a report unless a newer one of that entry was taken."""
        known = self._reports.get(report.node_id)
        if known is not None and _order(known[0]) >= _order(report):
            return
        if known is not None:
            self._forget(known[0])
        self._reports[report.node_id] = (report, now_ms)
        self._put(report, self._fresh)

    def expire(self, now_ms: int) -> None:
        """Lets old reports lapse and drops very old ones."""
        for report, heard_ms in tuple(self._reports.values()):
            age_ms = now_ms - heard_ms
            if age_ms > LAPSED_LIFETIME_MS:
                self._forget(report)
                del self._reports[report.node_id]
            elif age_ms > UNCLEAR_LIFETIME_MS:
                self._set_aside(report, self._lapsed)
            elif age_ms > REPORT_LIFETIME_MS:
                self._set_aside(report, None)

    def _set_aside(
        self,
        report: _types.UsageReport,
        counted_in: dict[model.ServiceName, Uses] | None,
    ) -> None:
        """Moves a report's use to where reports of its age are counted."""
        if self._counted_in[report.node_id] is counted_in:
            return
        self._forget(report)
        self._put(report, counted_in)

    def _put(
        self,
        report: _types.UsageReport,
        counted_in: dict[model.ServiceName, Uses] | None,
    ) -> None:
        self._counted_in[report.node_id] = counted_in
        if counted_in is not None:
            _count(counted_in, report.usages(), 1)

    def _forget(self, report: _types.UsageReport) -> None:
        counted_in = self._counted_in.pop(report.node_id)
        if counted_in is not None:
            _count(counted_in, report.usages(), -1)


def combine(fresh: Uses, lapsed: Uses, factor: float) -> Uses:
    """Returns fresh use and `factor` times the lapsed use."""
    if not lapsed or factor <= 0:
        return fresh
    sums = {name: dataclasses.replace(use) for name, use in fresh.items()}
    for name, use in lapsed.items():
        total = sums.setdefault(name, RemoteUse())
        total.running += round(factor * use.running)
        total.running_weight += factor * use.running_weight
        total.waiting_weight += factor * use.waiting_weight
    return sums


def _count(
    uses: dict[model.ServiceName, Uses],
    usages: Iterable[_types.AccountUsage],
    sign: int,
) -> None:
    for usage in usages:
        by_account = uses.setdefault(usage.service, {})
        use = by_account.setdefault(usage.account, RemoteUse())
        use.add(usage, sign)
        if use.running_weight < 0.005 and use.waiting_weight < 0.005:
            del by_account[usage.account]


def _order(report: _types.UsageReport) -> tuple[int, int]:
    return report.incarnation, report.sequence
