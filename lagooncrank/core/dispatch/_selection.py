"""Choice of the service and of the target that a request is sent to."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence

from lagooncrank import model
from lagooncrank.core.dispatch import _loads
from lagooncrank.core.dispatch import _types


def choose_service(route: model.Route, draw: float) -> model.ServiceName:
    """Returns a random service of a route, by the weights of its splits.

    Args:
        route: The route; the sum of its weights is above 0.
        draw: Random number, 0.0 to 1.0.
    """
    remaining = draw * sum(split.weight for split in route.splits)
    weighted = [split for split in route.splits if split.weight > 0]
    for split in weighted:
        remaining -= split.weight
        if remaining < 0:
            return split.service
    return weighted[-1].service


def choose_target(
    targets: Iterable[_types.Target],
    loads: _loads.InFlightTracker,
    avoided: Collection[str],
    tried: Collection[str],
    local_domain: model.FailureDomainId,
    draws: tuple[float, float],
    *,
    has_accurate_loads: bool = False,
) -> _types.Target | None:
    """Returns the less loaded of two random targets.

    The known loads are slightly outdated and the same at every entry. If each
    entry chose the least loaded of all targets, all of them would send to that
    one target at the same time.

    Args:
        targets: Targets that accept new requests.
        loads: Requests in flight at each target.
        avoided: Servers that failed recently or are stalled; used only if
            there is no other.
        tried: Servers that this request was already sent to; never used.
        local_domain: Failure domain of this entry, preferred at equal load.
        draws: Random numbers, 0.0 to 1.0, that select the two targets.
        has_accurate_loads: Whether entries are few, so that `loads` is nearly
            accurate; if both targets are full, the least loaded target of all
            is returned.
    """
    usable = [t for t in targets if t.server_id not in tried]
    if not usable:
        return None
    healthy = [t for t in usable if t.server_id not in avoided]
    candidates = healthy or usable

    def rank(target: _types.Target) -> tuple[int, bool]:
        is_remote = target.failure_domain != local_domain
        return (loads.in_flight(target.server_id), is_remote)

    best = min(_draw_pair(candidates, draws), key=rank)
    if has_accurate_loads and loads.in_flight(best.server_id) >= best.slots:
        return min(candidates, key=rank)
    return best


def _draw_pair(
    targets: Sequence[_types.Target], draws: tuple[float, float]
) -> Sequence[_types.Target]:
    """Returns two different random targets, or all if there are few."""
    count = len(targets)
    if count <= 2:
        return targets
    first = min(int(draws[0] * count), count - 1)
    second = min(int(draws[1] * (count - 1)), count - 2)
    if second >= first:
        second += 1
    return targets[first], targets[second]
