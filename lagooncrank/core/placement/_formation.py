"""Forms new replicas from free instances."""

from lagooncrank import model
from lagooncrank.core.placement import _changes
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _needs
from lagooncrank.core.placement import _pool
from lagooncrank.core.placement import _spares


class Formation:
    """Forms what is wanted first, then surplus where spares remain.

    A replica that waits for a lost member does not count, so another one is
    formed in its place where there is room.

    Args:
        fleet: Replicas and instances at this step.
        needs: Whole and held replicas of each service.
        pool: Free instances left by repair.
        changes: Receives the new replicas.
    """

    def __init__(
        self,
        fleet: _fleet.Fleet,
        needs: _needs.Needs,
        pool: _pool.Pool,
        changes: _changes.Changes,
    ) -> None:
        self._fleet = fleet
        self._pool = pool
        self._changes = changes
        self._sizes = _spares.domain_sizes(fleet)
        self._held = {s: needs.held(s) for s in fleet.services.values()}
        self._in_domain: dict[tuple[str, str], int] = {}
        for replica in fleet.holding:
            self._count(replica.service, replica.fabric_domain_id)
            if self._is_given_up(replica):
                self._held[fleet.services[replica.service]] -= 1

    def run(self) -> None:
        """Forms replicas until nothing is wanted or nothing fits."""
        while self._form_next():
            pass

    def _is_given_up(self, replica: model.Replica) -> bool:
        return (
            replica.service in self._fleet.services
            and not self._changes.has_changed(replica)
            and _needs.is_stuck(replica, self._fleet)
        )

    def _form_next(self) -> bool:
        wanting = sorted(
            (_needs.need_for(service, held), service.name)
            for service, held in self._held.items()
            if held < _needs.ceiling(service)
        )
        return any(
            self._form(self._fleet.services[name], need)
            for need, name in wanting
        )

    def _form(self, service: model.ModelService, need: _needs.Need) -> bool:
        domain = self._best_domain(service, need)
        if domain is None:
            return False
        wanted = service.instances_per_replica
        self._changes.create(service, self._pool.take(domain, service, wanted))
        self._held[service] += 1
        self._count(service.name, domain)
        return True

    def _best_domain(
        self, service: model.ModelService, need: _needs.Need
    ) -> model.FabricDomainId | None:
        candidates = [
            (self._in_domain.get((service.name, domain), 0), -free, domain)
            for domain in self._pool.domains()
            if (free := self._pool.count(domain, service))
            >= self._least_free(service, domain, need)
        ]
        return min(candidates)[2] if candidates else None

    def _least_free(
        self,
        service: model.ModelService,
        domain: model.FabricDomainId,
        need: _needs.Need,
    ) -> int:
        if need is not _needs.Need.SURPLUS:
            return service.instances_per_replica
        size = self._sizes[domain]
        spares = _spares.spares_to_hold(self._fleet, service, size)
        return service.instances_per_replica + spares

    def _count(
        self, service: model.ServiceName, domain: model.FabricDomainId
    ) -> None:
        key = (service, domain)
        self._in_domain[key] = self._in_domain.get(key, 0) + 1
