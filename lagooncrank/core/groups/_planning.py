"""Which groups to form, and which to break up for a model that lacks more.

Weights decide how soon a group serves: an engine that holds them joins at
once, one whose host keeps them after a second or two, any other only after a
load from the weight store. Once callers are served, groups are formed of the
first two kinds alone; the third is brought up by staging, while the others
stay free for other uses.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum
from typing import Final

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core.groups import _actions
from lagooncrank.core.groups import _life_cycle

#: Time for which engines that were set free are kept for the model that lacks
#: them; a head finishes its work meanwhile.
KEEP_MS: Final = 5_000


class Warmth(enum.IntEnum):
    """How soon an engine can serve a model."""

    #: The engine holds the weights.
    LOADED = 0
    #: Its host keeps them.
    STAGED = 1
    #: They must come from the weight store.
    COLD = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _Choice:
    """Engines of one fabric domain that could form a replica."""

    fabric_domain: str
    members: tuple[model.ServerReport, ...]
    cold_members: int
    staged_members: int
    #: Groups of the same model in the domain, which are lost together.
    siblings: int


@dataclasses.dataclass(slots=True)
class _Supply:
    """What one service has, and what its groups take of it."""

    engine: model.EngineProfile
    free: dict[str, list[model.ServerReport]]
    have: dict[str, int]
    wanted: dict[str, int]
    #: Models of the groups in each fabric domain.
    domains: dict[str, list[str]]

    def ratio(self, name: str, change: int = 0) -> float:
        """Returns how much of what a model should have it has."""
        return (self.have[name] + change) / self.wanted[name]

    def take(self, choice: _Choice, name: str) -> None:
        """Counts a group that is to be formed."""
        chosen = {m.server_id for m in choice.members}
        left = [
            r
            for r in self.free[choice.fabric_domain]
            if r.server_id not in chosen
        ]
        self.free[choice.fabric_domain] = left
        self.have[name] += 1
        self.domains.setdefault(choice.fabric_domain, []).append(name)


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


class Planner:
    """Plans groups; remembers for which model others were broken up."""

    def __init__(self) -> None:
        #: Model that the free engines of a domain are kept for, and until
        #: when.
        self._kept: dict[str, tuple[str, int]] = {}

    def plan(
        self,
        service: model.ServicePlan,
        table: fleet.ServerTable,
        groups: Mapping[str, model.Group],
        *,
        now_ms: int,
        may_load: bool,
        is_growing: bool,
    ) -> Iterator[_actions.Action]:
        """Yields groups to form and those to break up.

        Args:
            service: An engine service.
            table: Reports of the engines.
            groups: Groups that exist, in any phase.
            now_ms: Monotonic time.
            may_load: Whether groups may wait for the weight store; so before
                callers are served, when loads are short.
            is_growing: Whether engines have come within the last report
                interval, so that more will; small groups then leave room for
                large ones.
        """
        if service.engine is None:
            return
        supply = _supply_of(service, service.engine, table, groups)
        self._kept = {
            domain: kept
            for domain, kept in self._kept.items()
            if now_ms < kept[1]
        }
        waits = may_load and is_growing
        while True:
            form = self._next_form(
                service, supply, may_load=may_load, waits=waits
            )
            if form is None:
                break
            yield form
        if not may_load:
            yield from self._break_up(service, supply, table, groups, now_ms)

    def _next_form(
        self,
        service: model.ServicePlan,
        supply: _Supply,
        *,
        may_load: bool,
        waits: bool,
    ) -> _actions.Form | None:
        for profile in _by_need(supply, largest_first=may_load):
            choices = [
                c
                for c in _choices(profile, supply)
                if may_load or c.cold_members == 0
                if self._is_free_for(c.fabric_domain, profile.name)
            ]
            if not choices and waits:
                return None
            if not choices:
                continue
            best = min(choices, key=_preference)
            supply.take(best, profile.name)
            self._kept.pop(best.fabric_domain, None)
            return _actions.Form(
                service.name,
                profile.name,
                tuple(member_of(r) for r in best.members),
                best.cold_members,
            )
        return None

    def _is_free_for(self, domain: str, model_name: str) -> bool:
        kept = self._kept.get(domain)
        return kept is None or kept[0] == model_name

    def _break_up(
        self,
        service: model.ServicePlan,
        supply: _Supply,
        table: fleet.ServerTable,
        groups: Mapping[str, model.Group],
        now_ms: int,
    ) -> Iterator[_actions.Move]:
        """Yields groups whose engines another model needs more."""
        own = [g for g in groups.values() if g.service == service.name]
        is_settled = all(
            g.phase is model.GroupPhase.SERVING or not g.waits_for_work
            for g in own
        )
        if not is_settled or not own:
            return
        neediest = _by_need(supply, largest_first=False)[0]
        donors = min(
            _donations(neediest, supply, table, own), key=len, default=()
        )
        for group in donors:
            known = table.get(group.head.server_id)
            if known is not None:
                domain = known.report.fabric_domain
                self._kept[domain] = (neediest.name, now_ms + KEEP_MS)
            phase = model.GroupPhase.DISSOLVING
            reason = f"model {neediest.name} needs its engines more"
            yield _actions.Move(group, phase, reason, waits_for_work=True)


def _donations(
    neediest: model.ModelProfile,
    supply: _Supply,
    table: fleet.ServerTable,
    groups: Iterable[model.Group],
) -> Iterator[tuple[model.Group, ...]]:
    """Yields groups of one domain that make room for one of the neediest."""
    by_place: dict[tuple[str, str], list[model.Group]] = {}
    for group in groups:
        known = table.get(group.head.server_id)
        is_donor = group.model_name != neediest.name
        if is_donor and group.phase is model.GroupPhase.SERVING and known:
            place = (known.report.fabric_domain, group.model_name)
            by_place.setdefault(place, []).append(group)
    for (domain, donor), of_place in by_place.items():
        warm = _count_warm(supply.free.get(domain, ()), neediest)
        chosen: list[model.Group] = []
        for group in of_place:
            chosen.append(group)
            reports = [_report_of(m, table) for m in group.members]
            warm += _count_warm([r for r in reports if r], neediest)
            if warm >= neediest.size:
                break
        is_fair = supply.ratio(donor, -len(chosen)) > supply.ratio(
            neediest.name, +1
        )
        if warm >= neediest.size and is_fair:
            yield tuple(chosen)


def _count_warm(
    reports: Iterable[model.ServerReport], profile: model.ModelProfile
) -> int:
    """Returns how many engines can serve a model without a load."""
    return sum(1 for r in reports if warmth(r, profile.name) < Warmth.COLD)


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


def _supply_of(
    service: model.ServicePlan,
    engine: model.EngineProfile,
    table: fleet.ServerTable,
    groups: Mapping[str, model.Group],
) -> _Supply:
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
    return _Supply(engine, free, have, wanted, domains)


def _by_need(
    supply: _Supply, *, largest_first: bool
) -> list[model.ModelProfile]:
    """Returns the models that lack most first.

    Before callers are served, large groups are placed first, as small ones
    fit into what is left.
    """

    def key(profile: model.ModelProfile) -> tuple[float, float, str]:
        ratio = supply.ratio(profile.name)
        if largest_first and ratio < 1:
            return (0.0, float(-profile.size), profile.name)
        return (1.0, ratio, profile.name)

    return sorted(supply.engine.models, key=key)


def _choices(profile: model.ModelProfile, supply: _Supply) -> Iterator[_Choice]:
    for domain, reports in supply.free.items():
        if len(reports) < profile.size:
            continue
        ordered = sorted(
            reports, key=lambda r: (warmth(r, profile.name), r.server_id)
        )
        members = tuple(ordered[: profile.size])
        states = [warmth(r, profile.name) for r in members]
        yield _Choice(
            domain,
            members,
            states.count(Warmth.COLD),
            states.count(Warmth.STAGED),
            supply.domains.get(domain, []).count(profile.name),
        )


def _preference(choice: _Choice) -> tuple[int, int, int, str]:
    return (
        choice.cold_members,
        choice.siblings,
        choice.staged_members,
        choice.fabric_domain,
    )


def _report_of(
    member: model.GroupMember, table: fleet.ServerTable
) -> model.ServerReport | None:
    known = table.get(member.server_id)
    if known is None or known.report.born_ms != member.born_ms:
        return None
    return known.report


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
