"""The targets that this entry may route to, and their capacity."""

import dataclasses

import mode

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank.core import admission
from lagooncrank.core import membership
from lagooncrank.core import routing
from lagooncrank.server import _admission_desk
from lagooncrank.server import _interfaces

#: How long computed targets are used; part of the time that a lapsed or
#: leaving backend server still gets new work.
REFRESH_INTERVAL_MS = 20
CAPACITY_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class _Targets:
    computed_ms: int
    targets: tuple[routing.Target, ...]


class TargetDirectory(mode.Service):
    """Finds targets from the shared state and this entry's own members."""

    def __init__(
        self,
        shared: _interfaces.SharedState,
        table: membership.Membership,
        desk: _admission_desk.AdmissionDesk,
        router: routing.Router,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._shared = shared
        self._table = table
        self._desk = desk
        self._router = router
        self._clock = clock
        self._cache: dict[str, _Targets] = {}

    def of_model(
        self, service: model.ModelService
    ) -> tuple[routing.Target, ...]:
        """Returns the replicas of a model service that serve as a whole."""
        now_ms = self._clock.now_ms()
        known = self._cached(service.name, now_ms)
        if known is not None:
            return known
        members = routing.index_members(self._table.live_members(now_ms))
        replicas = self._shared.view.replicas.values()
        targets = tuple(
            routing.replica_targets(service, replicas, members, now_ms)
        )
        self._cache[service.name] = _Targets(now_ms, targets)
        return targets

    def of_plain(
        self, service: model.ServiceName
    ) -> tuple[routing.Target, ...]:
        """Returns the ready backend servers of a plain service."""
        now_ms = self._clock.now_ms()
        known = self._cached(service, now_ms)
        if known is not None:
            return known
        members = self._table.live_members(now_ms)
        targets = tuple(routing.plain_targets(service, members, now_ms))
        self._cache[service] = _Targets(now_ms, targets)
        return targets

    def refresh_capacity(self) -> None:
        """Tells admission what the replicas in use can take."""
        record = self._shared.view.configuration
        if record is None:
            return
        for service in record.declarations.model_services:
            self._desk.set_capacity(self._capacity(service))

    def _capacity(self, service: model.ModelService) -> admission.Capacity:
        now_ms = self._clock.now_ms()
        avoided = self._router.avoided(service.name, now_ms)
        used = [
            target
            for target in self.of_model(service)
            if target.target_id not in avoided
        ]
        slow = self._router.stragglers(service.name)
        stragglers = sum(t.target_id in slow for t in self.of_model(service))
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
        known = self._cache.get(service)
        if known is None or known.computed_ms + REFRESH_INTERVAL_MS <= now_ms:
            return None
        return known.targets
