"""Which hosts load which models while callers are served.

A crash leaves engines that no group of their fabric domain can use, as they
hold the weights of another model. Loads take long then, so those that complete
a group come first and a second model for members of groups comes last.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from lagooncrank import model
from lagooncrank.core.groups import _supply


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A model that a host should load."""

    report: model.ServerReport
    profile: model.ModelProfile
    #: Whether an engine without a group waits for it.
    is_urgent: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class _Option:
    """Free engines of one fabric domain that would form a group."""

    fabric_domain: str
    members: tuple[model.ServerReport, ...]
    #: Members that must load the model first.
    loads: tuple[model.ServerReport, ...]


def wanted_loads(
    supply: _supply.Supply,
    under_way: Mapping[str, str],
    members: Iterable[model.ServerReport],
) -> Iterator[Load]:
    """Yields loads, the most useful first.

    Args:
        supply: Engines and groups of a service; free engines are used up.
        under_way: Model that an engine's host loads now, by server id.
        members: Engines of the groups that serve.
    """
    yield from _completing(supply, under_way)
    yield from _preparing(supply, under_way)
    yield from _second_models(supply, under_way, members)


def _completing(
    supply: _supply.Supply, under_way: Mapping[str, str]
) -> Iterator[Load]:
    """Yields loads after which free engines form a group."""
    while True:
        found = _next_group(supply, under_way)
        if found is None:
            return
        profile, option = found
        supply.take(option.fabric_domain, option.members, profile.name)
        yield from (Load(r, profile) for r in option.loads)


def _next_group(
    supply: _supply.Supply, under_way: Mapping[str, str]
) -> tuple[model.ModelProfile, _Option] | None:
    for profile in supply.by_need():
        options = list(_options(profile, supply, under_way))
        if options:
            best = min(options, key=lambda o: (len(o.loads), o.fabric_domain))
            return profile, best
    return None


def _options(
    profile: model.ModelProfile,
    supply: _supply.Supply,
    under_way: Mapping[str, str],
) -> Iterator[_Option]:
    for domain, reports in supply.free.items():
        warm: list[model.ServerReport] = []
        cold: list[model.ServerReport] = []
        for report in reports:
            if _will_have(report, profile, under_way):
                warm.append(report)
            elif report.server_id not in under_way:
                cold.append(report)
        if len(warm) + len(cold) < profile.size:
            continue
        # A host that keeps nothing loses nothing by a load.
        cold.sort(key=lambda r: (bool(r.staged), r.server_id))
        missing = max(profile.size - len(warm), 0)
        loads = tuple(cold[:missing])
        members = (*warm[: profile.size], *loads)
        yield _Option(domain, members, loads)


def _preparing(
    supply: _supply.Supply, under_way: Mapping[str, str]
) -> Iterator[Load]:
    """Yields loads of engines without weights, for engines yet to come."""
    neediest = supply.by_need()[0]
    for reports in supply.free.values():
        for report in reports:
            is_blank = not report.staged and not report.loaded
            if is_blank and report.server_id not in under_way:
                yield Load(report, neediest)


def _second_models(
    supply: _supply.Supply,
    under_way: Mapping[str, str],
    members: Iterable[model.ServerReport],
) -> Iterator[Load]:
    """Yields a further model for members that hold but one."""
    for report in members:
        held = {*report.staged, *report.loaded}
        if len(held) > 1 or report.server_id in under_way:
            continue
        other = next((m for m in supply.by_need() if m.name not in held), None)
        if other is not None:
            yield Load(report, other, is_urgent=False)


def _will_have(
    report: model.ServerReport,
    profile: model.ModelProfile,
    under_way: Mapping[str, str],
) -> bool:
    if under_way.get(report.server_id) == profile.name:
        return True
    warmth = _supply.warmth(report, profile.name)
    return warmth < _supply.Warmth.COLD
