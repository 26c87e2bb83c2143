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
from typing import Final

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core.groups import _actions
from lagooncrank.core.groups import _supply

#: Time for which engines that were set free are kept for the model that lacks
#: them; a head finishes its work meanwhile.
KEEP_MS: Final = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Choice:
    """Engines of one fabric domain that could form a replica."""

    fabric_domain: str
    members: tuple[model.ServerReport, ...]
    cold_members: int
    staged_members: int
    #: Groups of the same model in the domain, which are lost together.
    siblings: int


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
        allow_cold_members: bool,
        expects_more_engines: bool,
    ) -> Iterator[_actions.Action]:
        """Yields groups to form and those to break up.

        Args:
            service: An engine service.
            table: Reports of the engines.
            groups: Groups that exist, in any phase.
            now_ms: Monotonic time.
            allow_cold_members: Whether a group may include engines that
                must load from the weight store. True until the first request
                is served, while loads are short.
            expects_more_engines: Whether an engine registered within the last
                report interval, so that more are expected. Small groups then
                wait, so that enough engines are left for large ones.
        """
        if service.engine is None:
            return
        supply = _supply.supply_of(service, service.engine, table, groups)
        self._kept = {
            domain: kept
            for domain, kept in self._kept.items()
            if now_ms < kept[1]
        }
        waits = allow_cold_members and expects_more_engines
        while True:
            form = self._next_form(
                service,
                supply,
                allow_cold_members=allow_cold_members,
                waits=waits,
            )
            if form is None:
                break
            yield form
        if not allow_cold_members:
            yield from self._break_up(service, supply, table, groups, now_ms)

    def _next_form(
        self,
        service: model.ServicePlan,
        supply: _supply.Supply,
        *,
        allow_cold_members: bool,
        waits: bool,
    ) -> _actions.PlannedGroup | None:
        order = (
            _largest_first(supply) if allow_cold_members else supply.by_need()
        )
        for profile in order:
            choices = [
                c
                for c in _choices(profile, supply)
                if allow_cold_members or c.cold_members == 0
                if self._is_free_for(c.fabric_domain, profile.name)
            ]
            if not choices and waits:
                return None
            if not choices:
                continue
            best = min(choices, key=_preference)
            supply.take(best.fabric_domain, best.members, profile.name)
            self._kept.pop(best.fabric_domain, None)
            return _actions.PlannedGroup(
                service.name,
                profile.name,
                tuple(_supply.member_of(r) for r in best.members),
                best.cold_members,
            )
        return None

    def _is_free_for(self, domain: str, model_name: str) -> bool:
        kept = self._kept.get(domain)
        return kept is None or kept[0] == model_name

    def _break_up(
        self,
        service: model.ServicePlan,
        supply: _supply.Supply,
        table: fleet.ServerTable,
        groups: Mapping[str, model.Group],
        now_ms: int,
    ) -> Iterator[_actions.PhaseChange]:
        """Yields groups whose engines another model needs more."""
        own = [g for g in groups.values() if g.service == service.name]
        if not own or any(_ends_soon(g, table) for g in own):
            return
        neediest = supply.by_need()[0]
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
            yield _actions.PhaseChange(
                group, phase, reason, waits_for_work=True
            )


def _donations(
    neediest: model.ModelProfile,
    supply: _supply.Supply,
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
    return sum(
        1
        for r in reports
        if _supply.warmth(r, profile.name) < _supply.Warmth.COLD
    )


def _largest_first(supply: _supply.Supply) -> list[model.ModelProfile]:
    """Returns the models in the order of their first groups.

    Before callers are served, large groups are placed first, as small ones
    fit into what is left.
    """

    def key(profile: model.ModelProfile) -> tuple[float, float, str]:
        ratio = supply.ratio(profile.name)
        if ratio < 1:
            return (0.0, float(-profile.size), profile.name)
        return (1.0, ratio, profile.name)

    return sorted(supply.engine.models, key=key)


def _choices(
    profile: model.ModelProfile, supply: _supply.Supply
) -> Iterator[_Choice]:
    for domain, reports in supply.free.items():
        if len(reports) < profile.size:
            continue
        ordered = sorted(
            reports,
            key=lambda r: (_supply.warmth(r, profile.name), r.server_id),
        )
        members = tuple(ordered[: profile.size])
        states = [_supply.warmth(r, profile.name) for r in members]
        yield _Choice(
            domain,
            members,
            states.count(_supply.Warmth.COLD),
            states.count(_supply.Warmth.STAGED),
            supply.domains.get(domain, []).count(profile.name),
        )


def _preference(choice: _Choice) -> tuple[int, int, int, str]:
    return (
        choice.cold_members,
        choice.siblings,
        choice.staged_members,
        choice.fabric_domain,
    )


def _ends_soon(group: model.Group, table: fleet.ServerTable) -> bool:
    """Whether a group finishes its work, after which its engines are free."""
    if group.phase is model.GroupPhase.SERVING or not group.waits_for_work:
        return False
    known = table.get(group.head.server_id)
    return known is not None and not table.is_unreachable(known)


def _report_of(
    member: model.GroupMember, table: fleet.ServerTable
) -> model.ServerReport | None:
    known = table.get(member.server_id)
    if known is None or known.report.born_ms != member.born_ms:
        return None
    return known.report
