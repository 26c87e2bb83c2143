"""Baseline policy: first fit, no waiting for members, unlimited loads."""

from collections.abc import Iterable
from collections.abc import Sequence

from lagooncrank import model
from lagooncrank.core.placement import _changes
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _instances
from lagooncrank.core.placement import _orders
from lagooncrank.core.placement import _policy
from lagooncrank.core.placement import _pool

_FreeInstances = dict[model.FabricDomainId, list[_instances.Instance]]


@_policy.POLICIES.register("first_fit")
class FirstFit:
    """Terminates a replica as soon as one member is not ready.

    It forms the replica again on the first domain with enough instances.
    """

    def plan(self, fleet: _fleet.Fleet, changes: _changes.Changes) -> None:
        """Terminates incomplete replicas and forms the declared number."""
        for replica in fleet.active_replicas:
            if fleet.unready_ranks(replica):
                changes.terminate(replica, model.ReplicaState.LOST)
        free_by_domain = fleet.free_by_domain()
        for service in fleet.services.values():
            count = sum(
                r.service == service.name and not changes.has_changed(r)
                for r in fleet.active_replicas
            )
            for _ in range(count, service.replicas):
                self._form(service, free_by_domain, changes)

    def select_loads(
        self, fleet: _fleet.Fleet, loads: Iterable[_orders.MemberLoad]
    ) -> Sequence[_orders.MemberLoad]:
        """Returns all loads."""
        return tuple(loads)

    def _form(
        self,
        service: model.ModelService,
        free_by_domain: _FreeInstances,
        changes: _changes.Changes,
    ) -> None:
        required = service.instances_per_replica
        for domain, instances in free_by_domain.items():
            fitting = [i for i in instances if _pool.fits(i, service)]
            if len(fitting) >= required:
                chosen = fitting[:required]
                changes.create(service, chosen)
                free_by_domain[domain] = [
                    i for i in instances if i not in chosen
                ]
                return
