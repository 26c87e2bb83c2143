"""Orders loads so that replicas serve as soon as the weight store allows."""

from collections.abc import Iterable
from collections.abc import Sequence

from lagooncrank import model
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _needs
from lagooncrank.core.placement import _orders


def grant(
    fleet: _fleet.Fleet, loads: Iterable[_orders.Load]
) -> Sequence[_orders.Load]:
    """Returns the loads that may run, at most as many as are declared.

    The replica with the fewest bytes to load goes first within its class of
    need: on a shared store that gives the earliest serving replicas. Members
    that keep their weights do not use the store.

    Args:
        fleet: Replicas and instances at this step.
        loads: Every load that a committed assignment calls for.
    """
    by_replica: dict[model.ReplicaId, list[_orders.Load]] = {}
    for load in loads:
        by_replica.setdefault(load.replica.replica_id, []).append(load)
    needs = _needs.Needs(fleet)
    queue = sorted(
        by_replica.values(),
        key=lambda group: _key(group, needs, fleet),
    )
    in_order = [load for group in queue for load in group]
    free = [load for load in in_order if load.weight_bytes == 0]
    costly = [load for load in in_order if load.weight_bytes > 0]
    running = [load for load in costly if load.started]
    waiting = [load for load in costly if not load.started]
    slots = fleet.declarations.weight_store.concurrent_loads - len(running)
    return free + running + waiting[: max(0, slots)]


def _key(
    group: Sequence[_orders.Load], needs: _needs.Needs, fleet: _fleet.Fleet
) -> tuple[int, int, int, str]:
    replica = group[0].replica
    missing = len(fleet.silent_ranks(replica))
    weight_bytes = sum(load.weight_bytes for load in group)
    return (needs.of(replica), missing, weight_bytes, replica.replica_id)
