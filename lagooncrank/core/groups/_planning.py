"""Which new groups to form from engines that are in none."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core.groups import _actions


@dataclasses.dataclass(frozen=True, slots=True)
class _Choice:
    """Engines of one fabric domain that could form a replica."""

    fabric_domain: str
    members: tuple[model.ServerReport, ...]
    cold_members: int
    #: Groups of other models in the domain; a domain of one model can join
    #: what is left of its groups after losses.
    strangers: int


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


def plan_groups(
    service: model.ServicePlan,
    table: fleet.ServerTable,
    groups: Mapping[str, model.Group],
    load_room: int,
) -> Iterator[_actions.Form]:
    """Yields groups to form, the model that lacks most first.

    Args:
        service: An engine service.
        table: Reports of the engines.
        groups: Groups that exist, in any phase.
        load_room: Loads from the weight store that may begin now.
    """
    engine = service.engine
    if engine is None:
        return
    taken = {m.server_id for g in groups.values() for m in g.members}
    ready = [k.report for k in table.ready(service.name)]
    free = [r for r in ready if r.server_id not in taken]
    wanted = wanted_groups(engine, len(ready))
    have = {m.name: 0 for m in engine.models}
    kept = [g for g in groups.values() if g.service == service.name]
    for group in kept:
        if group.phase is not model.GroupPhase.DISSOLVING:
            have[group.model_name] = have.get(group.model_name, 0) + 1
    domains = _domains_of(kept, table)
    while True:
        form = _next_form(service, free, have, wanted, domains, load_room)
        if form is None:
            return
        load_room -= form.cold_members
        have[form.model_name] += 1
        chosen = {m.server_id for m in form.members}
        domain = next(r.fabric_domain for r in free if r.server_id in chosen)
        domains.setdefault(domain, []).append(form.model_name)
        free = [r for r in free if r.server_id not in chosen]
        yield form


def _next_form(
    service: model.ServicePlan,
    free: list[model.ServerReport],
    have: dict[str, int],
    wanted: dict[str, int],
    domains: Mapping[str, list[str]],
    load_room: int,
) -> _actions.Form | None:
    engine = service.engine
    assert engine is not None
    by_need = sorted(
        engine.models, key=lambda m: (have[m.name] / wanted[m.name], m.name)
    )
    for profile in by_need:
        is_extra = have[profile.name] >= wanted[profile.name]
        choices = [
            c
            for c in _choices(profile, free, domains)
            if c.cold_members <= (0 if is_extra else load_room)
        ]
        if choices:
            best = min(
                choices,
                key=lambda c: (c.cold_members, c.strangers, c.fabric_domain),
            )
            return _actions.Form(
                service.name,
                profile.name,
                tuple(_member(r) for r in best.members),
                best.cold_members,
            )
    return None


def _choices(
    profile: model.ModelProfile,
    free: Iterable[model.ServerReport],
    domains: Mapping[str, list[str]],
) -> Iterator[_Choice]:
    by_domain: dict[str, list[model.ServerReport]] = {}
    for report in free:
        by_domain.setdefault(report.fabric_domain, []).append(report)
    for domain, reports in by_domain.items():
        if len(reports) < profile.size:
            continue
        reports.sort(key=lambda r: (profile.name not in r.staged, r.server_id))
        members = tuple(reports[: profile.size])
        cold = sum(1 for r in members if profile.name not in r.staged)
        others = [m for m in domains.get(domain, ()) if m != profile.name]
        yield _Choice(domain, members, cold, len(others))


def _domains_of(
    groups: Iterable[model.Group], table: fleet.ServerTable
) -> dict[str, list[str]]:
    """Returns the models of the groups in each fabric domain."""
    domains: dict[str, list[str]] = {}
    for group in groups:
        known = table.get(group.head.server_id)
        if known is not None:
            of_domain = domains.setdefault(known.report.fabric_domain, [])
            of_domain.append(group.model_name)
    return domains


def _member(report: model.ServerReport) -> model.GroupMember:
    return model.GroupMember(report.server_id, report.born_ms, report.address)
