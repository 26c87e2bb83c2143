"""Policy to compare with: first fit, form anew at once, load all at once."""

from collections.abc import Iterable
from collections.abc import Sequence

from lagooncrank import model
from lagooncrank.core.placement import _changes
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _instances
from lagooncrank.core.placement import _orders
from lagooncrank.core.placement import _policy
from lagooncrank.core.placement import _pool

_Free = dict[model.FabricDomainId, list[_instances.Instance]]


@_policy.POLICIES.register("first_fit")
class FirstFit:
    """Gives up a replica at the first missing member."""

    def plan(self, fleet: _fleet.Fleet, changes: _changes.Changes) -> None:
        """Ends broken replicas and forms those that are wanted."""
        for replica in fleet.holding:
            if fleet.silent_ranks(replica):
                changes.end(replica, model.ReplicaState.LOST)
        free = fleet.free()
        for service in fleet.services.values():
            count = sum(
                r.service == service.name and not changes.has_changed(r)
                for r in fleet.holding
            )
            for _ in range(count, service.replicas):
                self._form(service, free, changes)

    def grant(
        self, fleet: _fleet.Fleet, loads: Iterable[_orders.Load]
    ) -> Sequence[_orders.Load]:
        """Returns all loads."""
        return tuple(loads)

    def _form(
        self,
        service: model.ModelService,
        free: _Free,
        changes: _changes.Changes,
    ) -> None:
        wanted = service.instances_per_replica
        for domain, instances in free.items():
            fitting = [i for i in instances if _pool.fits(i, service)]
            if len(fitting) >= wanted:
                chosen = fitting[:wanted]
                changes.create(service, chosen)
                free[domain] = [i for i in instances if i not in chosen]
                return
