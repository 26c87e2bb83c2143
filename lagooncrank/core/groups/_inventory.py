"""Engines and groups of one service, compared with the targets."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from lagooncrank import model
from lagooncrank.core import fleet


class Warmth(enum.IntEnum):
    """Where a model's weights are; engines with lower values serve sooner."""

    #: The engine holds them.
    LOADED = 0
    #: The engine's host holds them.
    STAGED = 1
    #: They must be loaded from the weight store.
    COLD = 2


@dataclasses.dataclass(slots=True)
class EngineInventory:
    """Free engines and existing groups of one service."""

    engine: model.EngineProfile
    #: Engines that may join a group, by fabric domain.
    free: dict[str, list[model.ServerReport]]
    #: Number of groups of each model, without those that are dissolving.
    group_counts: dict[str, int]
    #: Number of groups that each model should have.
    target_counts: dict[str, int]
    #: Models of the groups in each fabric domain.
    models_by_domain: dict[str, list[str]]

    def fill_ratio(self, name: str, change: int = 0) -> float:
        """Returns the ratio of a model's groups to its target.

        Args:
            name: Name of the model.
            change: Number of groups to add to the present ones.
        """
        return (self.group_counts[name] + change) / self.target_counts[name]

    def declared(self, names: Iterable[str]) -> list[str]:
        """Returns those of some models that the document declares."""
        return [name for name in names if name in self.target_counts]

    def models_by_need(self) -> list[model.ModelProfile]:
        """Returns the models, the one furthest below its target first."""
        return sorted(
            self.engine.models, key=lambda m: (self.fill_ratio(m.name), m.name)
        )

    def stranded_engines(self, engines: int) -> int:
        """Returns how many of some engines no whole groups could take up.

        Args:
            engines: Number of free engines of one fabric domain.
        """
        sizes = [m.engines_per_replica for m in self.engine.models]
        usable = [0] * (engines + 1)
        for count in range(1, engines + 1):
            totals = [
                size + usable[count - size] for size in sizes if size <= count
            ]
            usable[count] = max(totals, default=0)
        return engines - usable[engines]

    def allocate(
        self,
        fabric_domain: str,
        members: Iterable[model.ServerReport],
        name: str,
    ) -> None:
        """Records a new group of free engines of one fabric domain."""
        chosen = {m.server_id for m in members}
        self.free[fabric_domain] = [
            r for r in self.free[fabric_domain] if r.server_id not in chosen
        ]
        self.group_counts[name] += 1
        self.models_by_domain.setdefault(fabric_domain, []).append(name)


def target_group_counts(
    engine: model.EngineProfile, engines: int
) -> dict[str, int]:
    """Returns how many groups each model should have.

    The engines are divided in proportion to the models' shares of the load.

    Args:
        engine: Models with their group sizes and shares.
        engines: Number of engines that can serve.
    """
    total = sum(m.initial_share for m in engine.models) or 1.0
    return {
        m.name: max(
            1, round(engines * m.initial_share / total / m.engines_per_replica)
        )
        for m in engine.models
    }


def warmth(report: model.ServerReport, model_name: str) -> Warmth:
    """Returns where an engine would get a model's weights from."""
    if model_name in report.loaded:
        return Warmth.LOADED
    if model_name in report.staged:
        return Warmth.STAGED
    return Warmth.COLD


def count_warm(
    reports: Iterable[model.ServerReport], profile: model.ModelProfile
) -> int:
    """Returns how many engines can serve a model without the weight store."""
    return sum(1 for r in reports if warmth(r, profile.name) < Warmth.COLD)


def to_group_member(report: model.ServerReport) -> model.GroupMember:
    """Returns the group member that identifies the reporting engine start."""
    return model.GroupMember(
        report.server_id, report.born_ms, report.address, report.sequence
    )


def inventory_of(
    service: model.ServiceConfig,
    engine: model.EngineProfile,
    table: fleet.ServerTable,
    groups: Mapping[str, model.Group],
) -> EngineInventory:
    """Returns the current inventory of a service.

    Args:
        service: An engine service.
        engine: Its models and limits.
        table: Reports of the engines.
        groups: Groups that exist, in any phase.
    """
    own_groups = [g for g in groups.values() if g.service == service.name]
    ready = [record.report for record in table.ready(service.name)]
    free: dict[str, list[model.ServerReport]] = {}
    for report in free_engines(service, table, groups):
        free.setdefault(report.fabric_domain, []).append(report)
    group_counts = {m.name: 0 for m in engine.models}
    models_by_domain: dict[str, list[str]] = {}
    for group in own_groups:
        if group.is_preload or group.phase is model.GroupPhase.DISSOLVING:
            continue
        group_counts[group.model_name] = (
            group_counts.get(group.model_name, 0) + 1
        )
        record = table.get(group.head.server_id)
        if record is not None:
            domain_models = models_by_domain.setdefault(
                record.report.fabric_domain, []
            )
            domain_models.append(group.model_name)
    target_counts = target_group_counts(engine, len(ready))
    return EngineInventory(
        engine, free, group_counts, target_counts, models_by_domain
    )


def free_engines(
    service: model.ServiceConfig,
    table: fleet.ServerTable,
    groups: Mapping[str, model.Group],
) -> list[model.ServerReport]:
    """Returns the engines of a service that may join a group.

    An engine that reports a membership has to leave that group first: a head
    of it may be open, even if the group is removed.
    """
    assigned = {m.server_id for g in groups.values() for m in g.members}
    ready = [record.report for record in table.ready(service.name)]
    return [
        r for r in ready if r.server_id not in assigned and r.membership is None
    ]
