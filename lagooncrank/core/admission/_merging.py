"""Merging of usage reports, so that a region counts as one entry.

With hundreds of entries a report from each to each costs more than an entry
may spend. One entry of a region merges the reports of the region and passes
them on; a receiver treats the merged report like that of one entry.
"""

from collections.abc import Iterable

from lagooncrank import model
from lagooncrank.core.admission import _types

_Key = tuple[model.ServiceName, model.ClientAccountId]


def merge_reports(
    node_id: model.NodeId,
    incarnation: int,
    sequence: int,
    reports: Iterable[_types.UsageReport],
) -> _types.UsageReport:
    """Returns one report with the summed use of several.

    Args:
        node_id: Name under which receivers keep the merged report.
        incarnation: Start of the entry that merges.
        sequence: Higher for each merged report of one start.
        reports: Latest report of each entry, without the receiver's own.
    """
    sums: dict[_Key, _types.AccountUsage] = {}
    for report in reports:
        for usage in report.usages():
            key = (usage.service, usage.account)
            known = sums.get(key)
            sums[key] = usage if known is None else _add(known, usage)
    by_service: dict[model.ServiceName, list[_types.AccountUsage]] = {}
    for usage in sums.values():
        by_service.setdefault(usage.service, []).append(usage)
    services = tuple(
        _types.ServiceUsage.from_usages(service, usages)
        for service, usages in by_service.items()
    )
    return _types.UsageReport(node_id, incarnation, sequence, services)


def _add(
    one: _types.AccountUsage, two: _types.AccountUsage
) -> _types.AccountUsage:
    return _types.AccountUsage(
        one.account,
        one.service,
        one.running + two.running,
        one.running_centiweight + two.running_centiweight,
        one.wanted_centiweight + two.wanted_centiweight,
    )
