"""Plans which groups to form, and which to dissolve for another model.

The location of the weights determines how soon a group can serve. An engine
that holds them joins at once. One whose host has staged them joins after a
second or two, and any other engine only after a load from the weight store.
Once requests are served, groups are formed of the first two kinds only. Engines
of the third kind are prepared by staging, while the others remain available.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import Final

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core.groups import _actions
from lagooncrank.core.groups import _donors
from lagooncrank.core.groups import _inventory
from lagooncrank.core.groups import _profiles

#: How long engines of dissolved groups are reserved for the model for which
#: the groups were dissolved. Their heads finish requests during that time.
RESERVATION_MS: Final = 5_000
#: Maximum time before the first groups that engines are given to register.
MAX_REGISTRATION_WAIT_MS: Final = 3_000
#: Number of groups by which one model may be ahead of the neediest one if their
#: engines hold the weights of that one too.
MAX_LEAD_GROUPS: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    """Engines of one fabric domain that could form a replica."""

    fabric_domain: str
    members: tuple[model.ServerReport, ...]
    cold_members: int
    staged_members: int
    #: Number of groups of the same model in the domain. A failure of the
    #: domain takes all of them down.
    siblings: int
    #: Number of free engines of the domain that no whole group could take up
    #: any more because of this one.
    stranded_engines: int


class Planner:
    """Plans the groups of a service and reserves freed engines."""

    def __init__(self) -> None:
        #: Model for which the free engines of each fabric domain are reserved,
        #: and the end of the reservation.
        self._reservations: dict[str, tuple[str, int]] = {}
        #: When this planner first saw a free engine of a service.
        self._first_engine_ms: dict[model.ServiceName, int] = {}

    def plan(
        self,
        service: model.ServiceConfig,
        table: fleet.ServerTable,
        groups: Mapping[str, model.Group],
        *,
        now_ms: int,
        allow_cold_members: bool,
        expects_more_engines: bool,
    ) -> Iterator[_actions.Action]:
        """Yields groups to form and groups to dissolve.

        Args:
            service: An engine service.
            table: Reports of the engines.
            groups: Groups that exist, in any phase.
            now_ms: Monotonic time.
            allow_cold_members: Whether a group may include engines that
                must load from the weight store. True until the first request
                is served, while loads are short.
            expects_more_engines: Whether an engine registered within the last
                report interval, so that more are expected. Before the first
                request groups then wait for them, within limits.
        """
        engine = _profiles.plannable_engine(service)
        if engine is None:
            return
        inventory = _inventory.inventory_of(service, engine, table, groups)
        self._reservations = {
            domain: reservation
            for domain, reservation in self._reservations.items()
            if now_ms < reservation[1]
            and not _is_withdrawn(inventory, domain, reservation[0])
        }
        if allow_cold_members and self._awaits_engines(
            service.name, inventory, now_ms, expects_more_engines
        ):
            return
        while True:
            planned_group = self._next_group(
                service, inventory, allow_cold_members=allow_cold_members
            )
            if planned_group is None:
                break
            yield planned_group
        if allow_cold_members and not expects_more_engines:
            yield from _preloads(service, inventory)
        if not allow_cold_members:
            yield from self._dissolve_for_neediest(
                service, inventory, table, groups, now_ms
            )

    def _awaits_engines(
        self,
        service: model.ServiceName,
        inventory: _inventory.EngineInventory,
        now_ms: int,
        expects_more_engines: bool,
    ) -> bool:
        """Returns whether to wait until more engines have registered.

        Groups that are formed from half of a fabric domain's engines may
        leave some of the others without a group.
        """
        if inventory.free:
            self._first_engine_ms.setdefault(service, now_ms)
        first_ms = self._first_engine_ms.get(service, now_ms)
        is_time_left = now_ms - first_ms < MAX_REGISTRATION_WAIT_MS
        return expects_more_engines and is_time_left

    def _next_group(
        self,
        service: model.ServiceConfig,
        inventory: _inventory.EngineInventory,
        *,
        allow_cold_members: bool,
    ) -> _actions.PlannedGroup | None:
        models = (
            _largest_first(inventory)
            if allow_cold_members
            else inventory.models_by_need()
        )
        for profile in models:
            candidates = [
                c
                for c in _candidates(profile, inventory)
                if allow_cold_members or c.cold_members == 0
                if self._is_available_for(c.fabric_domain, profile.name)
                if allow_cold_members
                or not _is_held_back(profile, c.members, inventory)
            ]
            if not candidates:
                continue
            best = min(candidates, key=_preference)
            inventory.allocate(best.fabric_domain, best.members, profile.name)
            self._reservations.pop(best.fabric_domain, None)
            return _actions.PlannedGroup(
                service.name,
                profile.name,
                tuple(_inventory.to_group_member(r) for r in best.members),
                best.cold_members,
            )
        return None

    def _is_available_for(self, domain: str, model_name: str) -> bool:
        reservation = self._reservations.get(domain)
        return reservation is None or reservation[0] == model_name

    def _dissolve_for_neediest(
        self,
        service: model.ServiceConfig,
        inventory: _inventory.EngineInventory,
        table: fleet.ServerTable,
        groups: Mapping[str, model.Group],
        now_ms: int,
    ) -> Iterator[_actions.PhaseChange]:
        """Yields dissolutions that free engines for the neediest model."""
        own_groups = [g for g in groups.values() if g.service == service.name]
        if not own_groups or any(
            _donors.is_finishing_work(g, table) for g in own_groups
        ):
            return
        neediest = inventory.models_by_need()[0]
        donors = min(
            _donors.donor_sets(neediest, inventory, table, own_groups),
            key=len,
            default=(),
        )
        for group in donors:
            record = table.get(group.head.server_id)
            if record is not None:
                domain = record.report.fabric_domain
                self._reservations[domain] = (
                    neediest.name,
                    now_ms + RESERVATION_MS,
                )
            phase = model.GroupPhase.DISSOLVING
            reason = f"model {neediest.name} has a greater need for its engines"
            yield _actions.PhaseChange(
                group, phase, reason, waits_for_work=True
            )


def _is_withdrawn(
    inventory: _inventory.EngineInventory, domain: str, model_name: str
) -> bool:
    """Returns whether a domain's engines no longer serve a model.

    Other services have other domains.
    """
    return (
        domain in inventory.free and model_name not in inventory.target_counts
    )


def _is_held_back(
    profile: model.ModelProfile,
    members: Iterable[model.ServerReport],
    inventory: _inventory.EngineInventory,
) -> bool:
    """Returns whether engines are kept for a model in greater need.

    An engine holds at most two models, and only one after it joined a group.
    Small groups form first after a failure; they would use up the weights of
    large ones.
    """
    neediest = inventory.models_by_need()[0]
    if profile.name == neediest.name:
        return False
    limit = inventory.fill_ratio(neediest.name, MAX_LEAD_GROUPS)
    is_ahead = inventory.fill_ratio(profile.name, +1) > limit
    return is_ahead and _inventory.count_warm(members, neediest) > 0


def _preloads(
    service: model.ServiceConfig, inventory: _inventory.EngineInventory
) -> Iterator[_actions.PlannedGroup]:
    """Yields groups of one engine that load staged weights into memory.

    An engine keeps the weights of its last group, so that its host can then
    stage another model, and the engine can serve either of them.
    """
    for reports in inventory.free.values():
        for report in reports:
            staged = inventory.declared(report.staged)
            if inventory.declared(report.loaded) or not staged:
                continue
            member = _inventory.to_group_member(report)
            yield _actions.PlannedGroup(
                service.name, staged[0], (member,), 0, is_preload=True
            )


def _largest_first(
    inventory: _inventory.EngineInventory,
) -> list[model.ModelProfile]:
    """Returns the models in the order in which to form their first groups.

    Before requests are served, large groups are formed first, as small groups
    still fit into the remaining engines.
    """

    def key(profile: model.ModelProfile) -> tuple[float, float, str]:
        fill_ratio = inventory.fill_ratio(profile.name)
        if fill_ratio < 1:
            return (0.0, float(-profile.engines_per_replica), profile.name)
        return (1.0, fill_ratio, profile.name)

    return sorted(inventory.engine.models, key=key)


def _candidates(
    profile: model.ModelProfile, inventory: _inventory.EngineInventory
) -> Iterator[_Candidate]:
    for domain, reports in inventory.free.items():
        if len(reports) < profile.engines_per_replica:
            continue
        ordered = sorted(
            reports,
            key=lambda r: (_inventory.warmth(r, profile.name), r.server_id),
        )
        members = tuple(ordered[: profile.engines_per_replica])
        states = [_inventory.warmth(r, profile.name) for r in members]
        unassigned = len(reports) - profile.engines_per_replica
        yield _Candidate(
            domain,
            members,
            states.count(_inventory.Warmth.COLD),
            states.count(_inventory.Warmth.STAGED),
            inventory.models_by_domain.get(domain, []).count(profile.name),
            inventory.stranded_engines(unassigned)
            - inventory.stranded_engines(len(reports)),
        )


def _preference(candidate: _Candidate) -> tuple[int, int, int, int, str]:
    return (
        candidate.cold_members,
        candidate.stranded_engines,
        candidate.siblings,
        candidate.staged_members,
        candidate.fabric_domain,
    )
