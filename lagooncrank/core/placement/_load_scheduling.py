"""Schedules loads so that replicas serve as early as possible."""

from collections.abc import Iterable
from collections.abc import Sequence

from lagooncrank import model
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _orders
from lagooncrank.core.placement import _priority


def select_loads(
    fleet: _fleet.Fleet, loads: Iterable[_orders.MemberLoad]
) -> Sequence[_orders.MemberLoad]:
    """Returns the loads that may run now.

    Loads from the weight store are limited to the declared concurrency. Among
    replicas of the same priority, the one with the fewest unready members and
    then the fewest bytes to load comes first, because on a shared store this
    order makes replicas serve earliest. Members that keep their weights do
    not use the store and are not limited.

    Args:
        fleet: Replicas and instances at this step.
        loads: Every load required by a committed assignment.
    """
    by_replica: dict[model.ReplicaId, list[_orders.MemberLoad]] = {}
    for load in loads:
        by_replica.setdefault(load.replica.replica_id, []).append(load)
    counts = _priority.ReplicaCounts(fleet)
    queue = sorted(
        by_replica.values(),
        key=lambda replica_loads: _scheduling_key(replica_loads, counts, fleet),
    )
    in_order = [load for replica_loads in queue for load in replica_loads]
    local = [load for load in in_order if load.weight_bytes == 0]
    remote = [load for load in in_order if load.weight_bytes > 0]
    running = [load for load in remote if load.started]
    waiting = [load for load in remote if not load.started]
    slots = fleet.declarations.weight_store.concurrent_loads - len(running)
    return local + running + waiting[: max(0, slots)]


def _scheduling_key(
    replica_loads: Sequence[_orders.MemberLoad],
    counts: _priority.ReplicaCounts,
    fleet: _fleet.Fleet,
) -> tuple[int, int, int, str]:
    replica = replica_loads[0].replica
    unready = len(fleet.unready_ranks(replica))
    weight_bytes = sum(load.weight_bytes for load in replica_loads)
    return (
        counts.repair_priority(replica),
        unready,
        weight_bytes,
        replica.replica_id,
    )
