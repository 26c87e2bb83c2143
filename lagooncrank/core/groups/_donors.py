"""Chooses groups to dissolve so that their engines can serve another model."""

from collections.abc import Iterable
from collections.abc import Iterator

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core.groups import _evidence
from lagooncrank.core.groups import _inventory


def donor_sets(
    neediest: model.ModelProfile,
    inventory: _inventory.EngineInventory,
    table: fleet.ServerTable,
    groups: Iterable[model.Group],
) -> Iterator[tuple[model.Group, ...]]:
    """Yields sets of groups whose engines suffice for the neediest model.

    The groups of a set serve one model in one fabric domain.
    """
    by_domain_and_model: dict[tuple[str, str], list[model.Group]] = {}
    for group in groups:
        record = table.get(group.head.server_id)
        is_donor = (
            group.model_name != neediest.name
            and group.model_name in inventory.target_counts
        )
        if is_donor and group.phase is model.GroupPhase.SERVING and record:
            key = (record.report.fabric_domain, group.model_name)
            by_domain_and_model.setdefault(key, []).append(group)
    for (domain, donor), groups_of_model in by_domain_and_model.items():
        warm = _inventory.count_warm(inventory.free.get(domain, ()), neediest)
        chosen: list[model.Group] = []
        for group in groups_of_model:
            chosen.append(group)
            reports = [
                _evidence.current_report(m, table) for m in group.members
            ]
            warm += _inventory.count_warm([r for r in reports if r], neediest)
            if warm >= neediest.engines_per_replica:
                break
        may_give = _may_give(donor, len(chosen), neediest.name, inventory)
        if warm >= neediest.engines_per_replica and may_give:
            yield tuple(chosen)


def _may_give(
    donor: str,
    count: int,
    neediest: str,
    inventory: _inventory.EngineInventory,
) -> bool:
    """Returns whether a model may give up groups for one of the neediest.

    It must remain closer to its target, or, if nothing serves the neediest
    model at all, keep a group.
    """
    if not inventory.group_counts[neediest]:
        return inventory.group_counts[donor] > count
    remaining = inventory.fill_ratio(donor, -count)
    return remaining > inventory.fill_ratio(neediest, +1)


def is_finishing_work(group: model.Group, table: fleet.ServerTable) -> bool:
    """Returns whether a dissolving group is still finishing its requests."""
    if group.phase is model.GroupPhase.SERVING or not group.waits_for_work:
        return False
    record = table.get(group.head.server_id)
    return record is not None and not table.is_unreachable(record)
