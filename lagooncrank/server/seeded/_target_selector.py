"""Selects the backend server for an attempt."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import random
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank.core import dispatch
from lagooncrank.core import groups
from lagooncrank.core import holds
from lagooncrank.server import _shared_state
from lagooncrank.server.seeded import _documents
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _server_limits

#: Number of entries assumed while not all of them are known.
ASSUMED_ENTRIES: Final = 8
UNKNOWN_DOMAIN: Final = model.FailureDomainId("")


class TargetSelector:
    """Selects targets by the state of the fleet that this entry knows."""

    def __init__(
        self,
        failure_domain: model.FailureDomainId,
        shared: _shared_state.ReplicatedState,
        view: _fleet_view.FleetView,
        documents: _documents.DocumentStore,
        limits: _server_limits.ServerLimits,
        clock: clocks.Clock,
    ) -> None:
        self._failure_domain = failure_domain
        self._shared = shared
        self._view = view
        self._documents = documents
        self._limits = limits
        self._clock = clock
        self.backoff = dispatch.FailureBackoff()
        #: Servers that take no new requests, by their own word.
        self.holds = holds.ServerHolds()

    def choose_service(self, route: model.Route) -> model.ServiceName:
        """Chooses a service at random by the weights of the route."""
        return dispatch.choose_service(route, random.random())

    def choose(
        self,
        service: model.ServiceName,
        model_name: str,
        tried: Collection[str],
        is_usable: Callable[[dispatch.Target], bool] | None = None,
    ) -> dispatch.Target | None:
        """Returns the best target, or None if there is none.

        If the target limits its requests, this uses a permit for it.

        Args:
            service: Service of a request.
            model_name: Its model; empty if it names none.
            tried: Servers that it was sent to already.
            is_usable: Whether it may go to a target; None for any.
        """
        candidates = self.untried(service, model_name, tried)
        if is_usable is not None:
            candidates = [t for t in candidates if is_usable(t)]
        limited = self._limited(candidates)
        avoided = self._avoided()
        target = dispatch.choose_target(
            self._with_permits(candidates, limited, avoided),
            self._view.loads,
            avoided,
            tried,
            self._failure_domain,
            (random.random(), random.random()),
            has_accurate_loads=self.knows_loads,
        )
        if limited:
            if target is not None:
                self._limits.use_permit(target)
            # For the next request: limited servers are to receive their rate.
            self._limits.request_permits(limited, 1)
        return target

    def is_limited(
        self,
        service: model.ServiceName,
        model_name: str,
        tried: Collection[str],
    ) -> bool:
        """Returns whether all untried targets limit their requests."""
        if not self._limits.has_limits:
            return False
        candidates = self.untried(service, model_name, tried)
        return bool(candidates) and self._limited(candidates) == candidates

    def permit_wait_ms(
        self,
        service: model.ServiceName,
        model_name: str,
        tried: Collection[str],
    ) -> int:
        """Returns the estimated time until any untried target has a permit."""
        return self._limits.wait_ms(self.untried(service, model_name, tried))

    def request_permits(
        self, service: model.ServiceName, model_name: str, needed: int
    ) -> None:
        """Requests permits for waiting requests, as far as there are limits."""
        limited = self._limited(list(self._candidates(service, model_name)))
        if limited:
            self._limits.request_permits(limited, needed)

    def _limited(
        self, targets: Sequence[dispatch.Target]
    ) -> list[dispatch.Target]:
        """Returns the targets that limit their requests."""
        if not self._limits.has_limits:
            return []
        return [t for t in targets if self._limits.is_limited(t)]

    def untried(
        self,
        service: model.ServiceName,
        model_name: str,
        tried: Collection[str],
    ) -> list[dispatch.Target]:
        """Returns the targets of a pool that were not tried yet."""
        candidates = self._candidates(service, model_name)
        return [t for t in candidates if t.server_id not in tried]

    def _with_permits(
        self,
        targets: Sequence[dispatch.Target],
        limited: Sequence[dispatch.Target],
        avoided: Collection[str],
    ) -> Sequence[dispatch.Target]:
        """Returns the targets that a request may be sent to now.

        Permits that are not used soon are lost, so they go first.
        """
        if not limited:
            return targets
        permitted = [t for t in limited if self._limits.permits(t)]
        usable = [
            t
            for t in permitted
            if t.server_id not in avoided
            and self._view.loads.in_flight(t.server_id) < t.slots
        ]
        unlimited = [t for t in targets if not self._limits.is_limited(t)]
        return usable or (unlimited + permitted)

    def has_untried(
        self,
        service: model.ServiceName,
        model_name: str,
        tried: Collection[str],
    ) -> bool:
        """Returns whether there is a target that was not tried yet."""
        return bool(self.untried(service, model_name, tried))

    def free_targets(
        self,
        service: model.ServiceName,
        model_name: str,
        tried: Collection[str],
    ) -> list[dispatch.Target]:
        """Returns the untried targets that are sound and not full."""
        avoided = self._avoided()
        return [
            target
            for target in self.untried(service, model_name, tried)
            if target.server_id not in avoided and self._has_free_slot(target)
        ]

    def least_loaded(
        self, targets: Iterable[dispatch.Target]
    ) -> dispatch.Target | None:
        """Returns the least loaded of some targets; None if there is none."""
        return min(
            targets,
            key=lambda t: self._view.loads.in_flight(t.server_id),
            default=None,
        )

    def _has_free_slot(self, target: dispatch.Target) -> bool:
        if self._limits.has_limits and self._limits.is_limited(target):
            return bool(self._limits.permits(target))
        if not self.knows_loads:
            return True
        in_flight = self._view.loads.in_flight(target.server_id)
        return not target.slots or in_flight < target.slots

    def slot_budget(
        self, service: model.ServiceName, model_name: str
    ) -> dispatch.SlotBudget | None:
        """Returns how many requests this entry may send to a pool now.

        They are the slots of its targets without a limit, and the permits for
        those with one.

        Returns:
            None if no target serves the pool, or if requests to it need not
            wait for a slot.
        """
        targets = list(self._candidates(service, model_name))
        limited = self._limited(targets)
        permits = sum(self._limits.permits(t) for t in limited)
        if limited and len(limited) == len(targets):
            return dispatch.SlotBudget(permits, 0)
        if not targets or not self.has_slots(service, model_name):
            return None
        if limited:
            targets = [t for t in targets if not self._limits.is_limited(t)]
        budget = self._unlimited_budget(targets)
        return dispatch.SlotBudget(budget.slots + permits, budget.reserved)

    @property
    def knows_loads(self) -> bool:
        """Whether the loads of targets are nearly accurate."""
        return dispatch.has_accurate_loads(self._view.entry_count)

    def has_slots(self, service: model.ServiceName, model_name: str) -> bool:
        """Returns whether the slots of targets without a limit are known.

        Args:
            service: Service of a request.
            model_name: Its model; empty if it names none.
        """
        return self._is_for_engines(service, model_name) and self.knows_loads

    def _unlimited_budget(
        self, heads: Sequence[dispatch.Target]
    ) -> dispatch.SlotBudget:
        avoided = self._avoided()
        usable = [t for t in heads if t.server_id not in avoided] or heads
        entry_count = max(self._view.entry_count, 1)
        knows_other_loads = self._view.knows_other_loads(self._clock.now_ms())
        if not knows_other_loads:
            entry_count = max(entry_count, ASSUMED_ENTRIES)
        return self._view.loads.slot_budget(
            usable, entry_count, knows_other_loads=knows_other_loads
        )

    def record_failure(self, target: dispatch.Target) -> None:
        """Records that an attempt at a target failed."""
        self.backoff.record_failure(target.server_id, self._clock.now_ms())

    def _avoided(self) -> set[str]:
        """Returns the servers that failed recently or are stalled."""
        now_ms = self._clock.now_ms()
        return self.backoff.avoided(
            now_ms
        ) | self._view.stall_detector.stalled_servers(now_ms)

    def rest_ms(
        self, service: model.ServiceName, model_name: str
    ) -> int | None:
        """Returns when the first of the held servers of a pool is free.

        Returns:
            Time in milliseconds; None if no server of the pool is held.
        """
        now_ms = self._clock.now_ms()
        held = [
            t.process
            for t in self._serving_targets(service, model_name)
            if self.holds.is_held(t.process, now_ms)
        ]
        return self.holds.first_free_ms(held, now_ms)

    def _candidates(
        self, service: model.ServiceName, model_name: str
    ) -> Iterator[dispatch.Target]:
        """Yields the targets that any attempt may be sent to."""
        now_ms = self._clock.now_ms()
        for target in self._serving_targets(service, model_name):
            if not self.holds.is_held(target.process, now_ms):
                yield target

    def _serving_targets(
        self, service: model.ServiceName, model_name: str
    ) -> Iterator[dispatch.Target]:
        if self._is_for_engines(service, model_name):
            return self._group_heads(service, model_name)
        return self._ready_servers(service)

    def _is_for_engines(
        self, service: model.ServiceName, model_name: str
    ) -> bool:
        """Returns whether the engines of a model serve a request.

        A route may also send requests that name a model to a plain service.
        """
        if not model_name:
            return False
        catalog = self._documents.catalog
        config = None if catalog is None else catalog.services.get(service)
        return config is None or config.engine is not None

    def _group_heads(
        self, service: model.ServiceName, model_name: str
    ) -> Iterator[dispatch.Target]:
        serving = groups.serving_groups(
            service, model_name, self._shared.view.groups, self._view.table
        )
        catalog = self._documents.catalog
        size = catalog.replica_size(service, model_name) if catalog else None
        for group in serving:
            if size not in (None, len(group.members)):
                # A newer document has changed the model's size.
                continue
            head = group.head
            record = self._view.table.get(head.server_id)
            if record is not None and record.report.born_ms == head.born_ms:
                yield _target(record.report, group)
            else:
                yield self._unreported_head(group)

    def _unreported_head(self, group: model.Group) -> dispatch.Target:
        """Returns a head of whose start this entry has no report yet."""
        catalog = self._documents.catalog
        return dispatch.Target(
            group.head.server_id,
            group.head.address,
            group.service,
            UNKNOWN_DOMAIN,
            0 if catalog is None else catalog.engine_slots(group.service),
            group.name,
            group.head.born_ms,
            epoch=group.epoch,
        )

    def _ready_servers(
        self, service: model.ServiceName
    ) -> Iterator[dispatch.Target]:
        for record in self._view.table.ready(service):
            yield _target(record.report, None)


def _target(
    report: model.ServerReport, group: model.Group | None
) -> dispatch.Target:
    return dispatch.Target(
        report.server_id,
        report.address,
        report.service,
        report.failure_domain,
        report.slots,
        "" if group is None else group.name,
        report.born_ms,
        epoch=0 if group is None else group.epoch,
    )
