"""Choice of the service and of the server that a request goes to."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence

from lagooncrank import model
from lagooncrank.core.dispatch import _in_flight
from lagooncrank.core.dispatch import _types


def choose_service(route: model.Route, draw: float) -> model.ServiceName:
    """Returns a service of the route, drawn by weight.

    Args:
        route: The route; its weights add up to more than 0.
        draw: Random number, 0.0 to 1.0.
    """
    left = draw * sum(split.weight for split in route.splits)
    weighted = [split for split in route.splits if split.weight > 0]
    for split in weighted:
        left -= split.weight
        if left < 0:
            return split.service
    return weighted[-1].service


def choose_target(
    targets: Iterable[_types.Target],
    loads: _in_flight.InFlightTracker,
    avoided: Collection[str],
    tried: Collection[str],
    near: model.FailureDomainId,
    draws: tuple[float, float],
    *,
    has_accurate_loads: bool = False,
) -> _types.Target | None:
    """Returns the less loaded one of two targets drawn by lot.

    What is known of the load is a moment old and the same at every entry, so
    that all would send to the one least loaded target at once.

    Args:
        targets: Targets that may be given new work.
        loads: Requests in flight.
        avoided: Servers that failed lately or stand still; used when there
            is no other.
        tried: Servers that this request was sent to before; not used again.
        near: Failure domain of this entry, preferred among equals.
        draws: Random numbers, 0.0 to 1.0, that draw the two.
        has_accurate_loads: Whether entries are few, so that `loads` is nearly
            accurate; if both targets are full, the least loaded target of all
            is returned.
    """
    usable = [t for t in targets if t.server_id not in tried]
    if not usable:
        return None
    sound = [t for t in usable if t.server_id not in avoided]
    candidates = sound or usable

    def rank(target: _types.Target) -> tuple[int, bool]:
        is_far = target.failure_domain != near
        return (loads.of(target.server_id), is_far)

    best = min(_draw_pair(candidates, draws), key=rank)
    if has_accurate_loads and loads.of(best.server_id) >= best.slots:
        return min(candidates, key=rank)
    return best


def _draw_pair(
    targets: Sequence[_types.Target], draws: tuple[float, float]
) -> Sequence[_types.Target]:
    """Returns two different targets, or all if there are no more."""
    count = len(targets)
    if count <= 2:
        return targets
    first = min(int(draws[0] * count), count - 1)
    second = min(int(draws[1] * (count - 1)), count - 2)
    if second >= first:
        second += 1
    return targets[first], targets[second]
