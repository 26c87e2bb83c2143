"""Usage that the other entries reported for each client account."""

from collections.abc import Iterable
import dataclasses

from lagooncrank import model
from lagooncrank.core.admission import _types

#: Age up to which a report counts in full.
MAX_FRESH_AGE_MS = 1_000
#: Up to this age, an overdue report is not counted at all: its entry may have
#: stopped, and the engines' load reports do not show that yet.
MAX_UNCOUNTED_AGE_MS = 3_000
#: Age after which a report is dropped.
MAX_STALE_AGE_MS = 60_000


@dataclasses.dataclass(slots=True)
class RemoteAccountUsage:
    """Usage of one service by one account at all other entries."""

    running: int = 0
    running_weight: float = 0.0
    waiting_weight: float = 0.0

    def add(self, usage: _types.AccountUsage, sign: int) -> None:
        """Adds (`sign` 1) or subtracts (`sign` -1) one entry's usage."""
        self.running += sign * usage.running
        self.running_weight += sign * usage.running_centiweight / 100
        self.waiting_weight += sign * usage.wanted_centiweight / 100


UsageByAccount = dict[model.ClientAccountId, RemoteAccountUsage]


class RemoteUsageTable:
    """Sums the latest usage report of each other entry.

    An entry that stops reporting may have crashed or may only be partitioned
    from this one. Its last report is summed separately, as stale, until it is
    too old to be useful. For the first seconds it is not counted at all:
    refusing the callers that a crashed entry leaves to this one is worse than
    briefly overloading the engines' queues.
    """

    def __init__(self) -> None:
        self._reports: dict[model.NodeId, tuple[_types.UsageReport, int]] = {}
        self._fresh: dict[model.ServiceName, UsageByAccount] = {}
        self._stale: dict[model.ServiceName, UsageByAccount] = {}
        #: Sums that include each entry's report, or None if it is not counted.
        self._counted_in: dict[
            model.NodeId, dict[model.ServiceName, UsageByAccount] | None
        ] = {}

    @property
    def reporting_entries(self) -> int:
        """Number of other entries with a report, including stale reports."""
        return len(self._reports)

    def fresh(self, service: model.ServiceName) -> UsageByAccount:
        """Returns the usage at entries that reported recently."""
        return self._fresh.get(service, {})

    def stale(self, service: model.ServiceName) -> UsageByAccount:
        """Returns the last known usage at entries that stopped reporting."""
        return self._stale.get(service, {})

    def observe(self, report: _types.UsageReport, now_ms: int) -> None:
        """Stores a report, unless a newer one of that entry is stored."""
        stored = self._reports.get(report.node_id)
        if stored is not None and _version(stored[0]) >= _version(report):
            return
        if stored is not None:
            self._remove_report(stored[0])
        self._reports[report.node_id] = (report, now_ms)
        self._add_report(report, self._fresh)

    def expire(self, now_ms: int) -> None:
        """Moves reports to the sums of their age and drops very old ones."""
        for report, received_ms in tuple(self._reports.values()):
            age_ms = now_ms - received_ms
            if age_ms > MAX_STALE_AGE_MS:
                self._remove_report(report)
                del self._reports[report.node_id]
            elif age_ms > MAX_UNCOUNTED_AGE_MS:
                self._move_report(report, self._stale)
            elif age_ms > MAX_FRESH_AGE_MS:
                self._move_report(report, None)

    def _move_report(
        self,
        report: _types.UsageReport,
        counted_in: dict[model.ServiceName, UsageByAccount] | None,
    ) -> None:
        """Moves the usage of a report to other sums, or to none."""
        if self._counted_in[report.node_id] is counted_in:
            return
        self._remove_report(report)
        self._add_report(report, counted_in)

    def _add_report(
        self,
        report: _types.UsageReport,
        counted_in: dict[model.ServiceName, UsageByAccount] | None,
    ) -> None:
        self._counted_in[report.node_id] = counted_in
        if counted_in is not None:
            _add_usages(counted_in, report.usages(), 1)

    def _remove_report(self, report: _types.UsageReport) -> None:
        counted_in = self._counted_in.pop(report.node_id)
        if counted_in is not None:
            _add_usages(counted_in, report.usages(), -1)


def combine_usage(
    fresh: UsageByAccount, stale: UsageByAccount, stale_factor: float
) -> UsageByAccount:
    """Returns the fresh usage plus `stale_factor` times the stale usage."""
    if not stale or stale_factor <= 0:
        return fresh
    sums = {name: dataclasses.replace(usage) for name, usage in fresh.items()}
    for name, usage in stale.items():
        total = sums.setdefault(name, RemoteAccountUsage())
        total.running += round(stale_factor * usage.running)
        total.running_weight += stale_factor * usage.running_weight
        total.waiting_weight += stale_factor * usage.waiting_weight
    return sums


def _add_usages(
    sums: dict[model.ServiceName, UsageByAccount],
    usages: Iterable[_types.AccountUsage],
    sign: int,
) -> None:
    """Adds (`sign` 1) or subtracts (`sign` -1) usages, dropping empty sums."""
    for usage in usages:
        by_account = sums.setdefault(usage.service, {})
        total = by_account.setdefault(usage.account, RemoteAccountUsage())
        total.add(usage, sign)
        if total.running_weight < 0.005 and total.waiting_weight < 0.005:
            del by_account[usage.account]


def _version(report: _types.UsageReport) -> tuple[int, int]:
    return report.incarnation, report.sequence
