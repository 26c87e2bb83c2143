"""Merging of usage reports, so that a region counts as one entry.

With hundreds of entries, sending a report from every entry to every other one
costs more than an entry can afford. Instead, one entry of a region merges the
reports of the region and forwards them. A receiver handles the merged report
like the report of one entry.
"""

from collections.abc import Iterable

from lagooncrank import model
from lagooncrank.core.admission import _types

_UsageKey = tuple[model.ServiceName, model.ClientAccountId]


def merge_reports(
    node_id: model.NodeId,
    incarnation: int,
    sequence: int,
    reports: Iterable[_types.UsageReport],
) -> _types.UsageReport:
    """Returns one report with the total usage of several reports.

    Args:
        node_id: Id under which receivers store the merged report.
        incarnation: Incarnation of the merging entry.
        sequence: Sequence number of the merged report in this incarnation.
        reports: Latest report of each entry, except the receiver's.
    """
    sums: dict[_UsageKey, _types.AccountUsage] = {}
    for report in reports:
        for usage in report.usages():
            key = (usage.service, usage.account)
            total = sums.get(key)
            sums[key] = usage if total is None else _add(total, usage)
    by_service: dict[model.ServiceName, list[_types.AccountUsage]] = {}
    for usage in sums.values():
        by_service.setdefault(usage.service, []).append(usage)
    services = tuple(
        _types.ServiceUsage.from_usages(service, usages)
        for service, usages in by_service.items()
    )
    return _types.UsageReport(node_id, incarnation, sequence, services)


def _add(
    left: _types.AccountUsage, right: _types.AccountUsage
) -> _types.AccountUsage:
    return _types.AccountUsage(
        left.account,
        left.service,
        left.running + right.running,
        left.running_centiweight + right.running_centiweight,
        left.wanted_centiweight + right.wanted_centiweight,
    )
