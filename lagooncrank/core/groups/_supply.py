"""What a service has of engines, and what its groups take of it."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core.groups import _life_cycle


class Warmth(enum.IntEnum):
    """How soon an engine can serve a model."""

    #: The engine holds the weights.
    LOADED = 0
    #: Its host keeps them.
    STAGED = 1
    #: They must come from the weight store.
    COLD = 2


@dataclasses.dataclass(slots=True)
class Supply:
    """What one service has, and what its groups take of it."""

    engine: model.EngineProfile
    #: Engines that may join a group, by fabric domain.
    free: dict[str, list[model.ServerReport]]
    #: Groups by model, but for those that are broken up.
    have: dict[str, int]
    wanted: dict[str, int]
    #: Models of the groups in each fabric domain.
    domains: dict[str, list[str]]

    def ratio(self, name: str, change: int = 0) -> float:
        """Returns how much of what a model should have it has."""
        return (self.have[name] + change) / self.wanted[name]

    def by_need(self) -> list[model.ModelProfile]:
        """Returns the models, the one that lacks most first."""
        return sorted(
            self.engine.models, key=lambda m: (self.ratio(m.name), m.name)
        )

    def take(
        self,
        fabric_domain: str,
        members: Iterable[model.ServerReport],
        name: str,
    ) -> None:
        """Counts a group of free engines of one fabric domain."""
        chosen = {m.server_id for m in members}
        self.free[fabric_domain] = [
            r for r in self.free[fabric_domain] if r.server_id not in chosen
        ]
        self.have[name] += 1
        self.domains.setdefault(fabric_domain, []).append(name)


def wanted_groups(engine: model.EngineProfile, engines: int) -> dict[str, int]:
    """Returns how many groups each model should have.

    The engines are divided by the models' shares of the work.

    Args:
        engine: Models with sizes and shares.
        engines: Number of engines that can serve.
    """
    total = sum(m.share for m in engine.models) or 1.0
    return {
        m.name: max(1, round(engines * m.share / total / m.size))
        for m in engine.models
    }


def warmth(report: model.ServerReport, model_name: str) -> Warmth:
    """Returns how soon an engine can serve a model."""
    if model_name in report.loaded:
        return Warmth.LOADED
    if model_name in report.staged:
        return Warmth.STAGED
    return Warmth.COLD


def member_of(report: model.ServerReport) -> model.GroupMember:
    """Returns the engine start that a report is from."""
    return model.GroupMember(report.server_id, report.born_ms, report.address)


def supply_of(
    service: model.ServicePlan,
    engine: model.EngineProfile,
    table: fleet.ServerTable,
    groups: Mapping[str, model.Group],
) -> Supply:
    """Returns what a service has now.

    Args:
        service: An engine service.
        engine: Its models and limits.
        table: Reports of the engines.
        groups: Groups that exist, in any phase.
    """
    own = [g for g in groups.values() if g.service == service.name]
    ready = [known.report for known in table.ready(service.name)]
    free: dict[str, list[model.ServerReport]] = {}
    for report in free_of(service, table, groups):
        free.setdefault(report.fabric_domain, []).append(report)
    have = {m.name: 0 for m in engine.models}
    domains: dict[str, list[str]] = {}
    for group in own:
        if group.phase is model.GroupPhase.DISSOLVING:
            continue
        have[group.model_name] = have.get(group.model_name, 0) + 1
        known = table.get(group.head.server_id)
        if known is not None:
            of_domain = domains.setdefault(known.report.fabric_domain, [])
            of_domain.append(group.model_name)
    wanted = wanted_groups(engine, len(ready))
    return Supply(engine, free, have, wanted, domains)


def free_of(
    service: model.ServicePlan,
    table: fleet.ServerTable,
    groups: Mapping[str, model.Group],
) -> list[model.ServerReport]:
    """Returns the engines of a service that may join a group.

    Those of a group that is over stay out while its head is open.
    """
    taken = {m.server_id for g in groups.values() for m in g.members}
    ready = [k.report for k in table.ready(service.name)]
    stray_epochs = {
        r.membership.epoch
        for r in ready
        if r.membership is not None and _life_cycle.is_stray(r, groups)
    }
    return [
        r
        for r in ready
        if r.server_id not in taken
        and (r.membership is None or r.membership.epoch not in stray_epochs)
    ]
