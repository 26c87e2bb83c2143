"""Forms new replicas from free instances."""

from lagooncrank import model
from lagooncrank.core.placement import _changes
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _pool
from lagooncrank.core.placement import _priority
from lagooncrank.core.placement import _spares


class Formation:
    """Forms replicas up to the target, then surplus ones beyond the spares.

    A replica that waits for an overdue member is not counted, so another one
    is formed instead if enough instances are free.

    Args:
        fleet: Replicas and instances at this step.
        counts: Assigned and fully serving replicas of each service.
        pool: Instances that are still free after repair.
        changes: Receives the new replicas.
    """

    def __init__(
        self,
        fleet: _fleet.Fleet,
        counts: _priority.ReplicaCounts,
        pool: _pool.Pool,
        changes: _changes.Changes,
    ) -> None:
        self._fleet = fleet
        self._pool = pool
        self._changes = changes
        self._sizes = _spares.domain_sizes(fleet)
        self._assigned = {
            s: counts.assigned(s) for s in fleet.services.values()
        }
        self._replicas_in_domain: dict[tuple[str, str], int] = {}
        for replica in fleet.active_replicas:
            self._count(replica.service, replica.fabric_domain_id)
            if self._is_waiting_for_member(replica):
                self._assigned[fleet.services[replica.service]] -= 1

    def run(self) -> None:
        """Forms replicas until each service has enough or none fits."""
        while self._form_next():
            pass

    def _is_waiting_for_member(self, replica: model.Replica) -> bool:
        return (
            replica.service in self._fleet.services
            and not self._changes.has_changed(replica)
            and _priority.has_overdue_member(replica, self._fleet)
        )

    def _form_next(self) -> bool:
        candidates = sorted(
            (_priority.next_replica_priority(service, assigned), service.name)
            for service, assigned in self._assigned.items()
            if assigned < _priority.replica_limit(service)
        )
        return any(
            self._form(self._fleet.services[name], priority)
            for priority, name in candidates
        )

    def _form(
        self, service: model.ModelService, priority: _priority.ReplicaPriority
    ) -> bool:
        domain = self._choose_domain(service, priority)
        if domain is None:
            return False
        required = service.instances_per_replica
        self._changes.create(
            service, self._pool.allocate(domain, service, required)
        )
        self._assigned[service] += 1
        self._count(service.name, domain)
        return True

    def _choose_domain(
        self, service: model.ModelService, priority: _priority.ReplicaPriority
    ) -> model.FabricDomainId | None:
        candidates = [
            (
                self._replicas_in_domain.get((service.name, domain), 0),
                -free,
                domain,
            )
            for domain in self._pool.domains()
            if (free := self._pool.count(domain, service))
            >= self._min_free(service, domain, priority)
        ]
        return min(candidates)[2] if candidates else None

    def _min_free(
        self,
        service: model.ModelService,
        domain: model.FabricDomainId,
        priority: _priority.ReplicaPriority,
    ) -> int:
        if priority is not _priority.ReplicaPriority.SURPLUS:
            return service.instances_per_replica
        size = self._sizes[domain]
        spares = _spares.spares_to_hold(self._fleet, service, size)
        return service.instances_per_replica + spares

    def _count(
        self, service: model.ServiceName, domain: model.FabricDomainId
    ) -> None:
        key = (service, domain)
        self._replicas_in_domain[key] = self._replicas_in_domain.get(key, 0) + 1
