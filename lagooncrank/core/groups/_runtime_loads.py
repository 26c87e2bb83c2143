"""Plans loads from the weight store while requests are served.

After a crash, engines may remain that no group in their fabric domain can
use, because they hold the weights of another model. Loads take long at that
time, so loads that complete a group come first, and loads of a second model
for members of groups come last.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from lagooncrank import model
from lagooncrank.core.groups import _inventory


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedLoad:
    """A load of a model that an engine's host should start."""

    report: model.ServerReport
    profile: model.ModelProfile
    #: Whether an engine without a group needs it.
    is_urgent: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class _GroupCandidate:
    """Free engines of one fabric domain that could form a group."""

    fabric_domain: str
    members: tuple[model.ServerReport, ...]
    #: Members that must load the model first.
    loads: tuple[model.ServerReport, ...]


def plan_loads(
    inventory: _inventory.EngineInventory,
    loads_in_progress: Mapping[str, str],
    members: Iterable[model.ServerReport],
) -> Iterator[PlannedLoad]:
    """Yields loads, the most useful first.

    Args:
        inventory: Engines and groups of a service. Free engines for which a
            group is planned are removed from it.
        loads_in_progress: Model that an engine's host is loading, by server
            id.
        members: Engines of the serving groups.
    """
    yield from _group_completing_loads(inventory, loads_in_progress)
    yield from _empty_host_loads(inventory, loads_in_progress)
    yield from _second_model_loads(inventory, loads_in_progress, members)


def _group_completing_loads(
    inventory: _inventory.EngineInventory, loads_in_progress: Mapping[str, str]
) -> Iterator[PlannedLoad]:
    """Yields loads after which free engines can form a group."""
    while True:
        found = _next_candidate(inventory, loads_in_progress)
        if found is None:
            return
        profile, candidate = found
        inventory.allocate(
            candidate.fabric_domain, candidate.members, profile.name
        )
        yield from (PlannedLoad(r, profile) for r in candidate.loads)


def _next_candidate(
    inventory: _inventory.EngineInventory, loads_in_progress: Mapping[str, str]
) -> tuple[model.ModelProfile, _GroupCandidate] | None:
    for profile in inventory.models_by_need():
        candidates = list(_candidates(profile, inventory, loads_in_progress))
        if candidates:
            best = min(
                candidates, key=lambda c: (len(c.loads), c.fabric_domain)
            )
            return profile, best
    return None


def _candidates(
    profile: model.ModelProfile,
    inventory: _inventory.EngineInventory,
    loads_in_progress: Mapping[str, str],
) -> Iterator[_GroupCandidate]:
    for domain, reports in inventory.free.items():
        warm: list[model.ServerReport] = []
        cold: list[model.ServerReport] = []
        for report in reports:
            if _will_hold(report, profile, loads_in_progress):
                warm.append(report)
            elif report.server_id not in loads_in_progress:
                cold.append(report)
        if len(warm) + len(cold) < profile.engines_per_replica:
            continue
        # Prefer hosts without staged models, which a load could displace.
        cold.sort(key=lambda r: (bool(r.staged), r.server_id))
        missing = max(profile.engines_per_replica - len(warm), 0)
        loads = tuple(cold[:missing])
        members = (*warm[: profile.engines_per_replica], *loads)
        yield _GroupCandidate(domain, members, loads)


def _empty_host_loads(
    inventory: _inventory.EngineInventory, loads_in_progress: Mapping[str, str]
) -> Iterator[PlannedLoad]:
    """Yields loads for engines without weights.

    They can then form groups with engines that arrive later.
    """
    neediest = inventory.models_by_need()[0]
    for reports in inventory.free.values():
        for report in reports:
            held_models = (*report.staged, *report.loaded)
            is_empty = not inventory.declared(held_models)
            if is_empty and report.server_id not in loads_in_progress:
                yield PlannedLoad(report, neediest)


def _second_model_loads(
    inventory: _inventory.EngineInventory,
    loads_in_progress: Mapping[str, str],
    members: Iterable[model.ServerReport],
) -> Iterator[PlannedLoad]:
    """Yields loads of a second model for members that hold only one."""
    for report in members:
        held_models = {
            *inventory.declared(report.staged),
            *inventory.declared(report.loaded),
        }
        if len(held_models) > 1 or report.server_id in loads_in_progress:
            continue
        missing_model = next(
            (
                m
                for m in inventory.models_by_need()
                if m.name not in held_models
            ),
            None,
        )
        if missing_model is not None:
            yield PlannedLoad(report, missing_model, is_urgent=False)


def _will_hold(
    report: model.ServerReport,
    profile: model.ModelProfile,
    loads_in_progress: Mapping[str, str],
) -> bool:
    loading = loads_in_progress.get(report.server_id)
    if loading is not None and profile.name not in report.loaded:
        # The load displaces the model that the host holds.
        return loading == profile.name
    warmth = _inventory.warmth(report, profile.name)
    return warmth < _inventory.Warmth.COLD
