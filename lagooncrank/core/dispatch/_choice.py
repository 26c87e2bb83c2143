"""Choice of the service and of the server that a request goes to."""

from collections.abc import Collection
from collections.abc import Iterable

from lagooncrank import model
from lagooncrank.core.dispatch import _loads
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
    loads: _loads.LoadBook,
    avoided: Collection[str],
    tried: Collection[str],
    near: model.FailureDomainId,
    draw: float,
) -> _types.Target | None:
    """Returns the least loaded target that did not fail lately.

    Args:
        targets: Targets that may be given new work.
        loads: Requests in flight.
        avoided: Servers that failed lately or stand still; used when there
            is no other.
        tried: Servers that this request was sent to before; not used again.
        near: Failure domain of this entry, preferred among equals.
        draw: Random number, 0.0 to 1.0, that decides between equals.
    """
    usable = [t for t in targets if t.server_id not in tried]
    if not usable:
        return None
    sound = [t for t in usable if t.server_id not in avoided]
    usable = sound or usable
    fewest = min(loads.of(t.server_id) for t in usable)
    best = [t for t in usable if loads.of(t.server_id) == fewest]
    best = [t for t in best if t.failure_domain == near] or best
    return best[min(int(draw * len(best)), len(best) - 1)]
