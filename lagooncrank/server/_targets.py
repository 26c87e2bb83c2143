"""Targets to which this entry may route requests, and their capacity."""

import dataclasses

import mode

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank.core import admission
from lagooncrank.core import membership
from lagooncrank.core import routing
from lagooncrank.server import _admission_service
from lagooncrank.server import _interfaces

#: How long computed targets are reused. For this time a backend server may
#: still get new requests after its lease expired or it announced its leaving.
CACHE_LIFETIME_MS = 20
CAPACITY_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedTargets:
    computed_ms: int
    targets: tuple[routing.Target, ...]


class TargetDirectory(mode.Service):
    """Computes targets from the shared state and this entry's member table.

    Also reports the capacity of the targets to admission at intervals.
    """

    def __init__(
        self,
        shared: _interfaces.SharedState,
        table: membership.Membership,
        admission_service: _admission_service.AdmissionService,
        router: routing.Router,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._shared = shared
        self._table = table
        self._admission_service = admission_service
        self._router = router
        self._clock = clock
        self._cache: dict[str, _CachedTargets] = {}

    def model_targets(
        self, service: model.ModelService
    ) -> tuple[routing.Target, ...]:
        """Returns the serving replicas of a model service."""
        now_ms = self._clock.now_ms()
        cached = self._cached(service.name, now_ms)
        if cached is not None:
            return cached
        members = routing.index_members(self._table.live_members(now_ms))
        replicas = self._shared.view.replicas.values()
        targets = tuple(
            routing.replica_targets(service, replicas, members, now_ms)
        )
        self._cache[service.name] = _CachedTargets(now_ms, targets)
        return targets

    def plain_targets(
        self, service: model.ServiceName
    ) -> tuple[routing.Target, ...]:
        """Returns the ready backend servers of a plain service."""
        now_ms = self._clock.now_ms()
        cached = self._cached(service, now_ms)
        if cached is not None:
            return cached
        members = self._table.live_members(now_ms)
        targets = tuple(routing.plain_targets(service, members, now_ms))
        self._cache[service] = _CachedTargets(now_ms, targets)
        return targets

    def refresh_capacity(self) -> None:
        """Reports the capacity of each model service to admission."""
        record = self._shared.view.configuration
        if record is None:
            return
        for service in record.declarations.model_services:
            self._admission_service.set_capacity(self._capacity(service))

    def _capacity(self, service: model.ModelService) -> admission.Capacity:
        now_ms = self._clock.now_ms()
        avoided = self._router.avoided(service.name, now_ms)
        used = [
            target
            for target in self.model_targets(service)
            if target.target_id not in avoided
        ]
        slow = self._router.stragglers(service.name)
        stragglers = sum(
            t.target_id in slow for t in self.model_targets(service)
        )
        per_replica = service.concurrency_per_replica
        return admission.Capacity(
            service=service.name,
            replicas=len(used),
            concurrency=len(used) * per_replica,
            tokens_per_s=len(used) * service.tokens_per_s_per_replica,
            reported_running=sum(
                target.load.running + target.load.queued for target in used
            ),
            straggler_concurrency=stragglers * per_replica,
        )

    @mode.Service.task
    async def _refresh_regularly(self) -> None:
        while not self.should_stop:
            self.refresh_capacity()
            await self.sleep(CAPACITY_INTERVAL_S)

    def _cached(
        self, service: str, now_ms: int
    ) -> tuple[routing.Target, ...] | None:
        cached = self._cache.get(service)
        if cached is None or cached.computed_ms + CACHE_LIFETIME_MS <= now_ms:
            return None
        return cached.targets
