"""Selects the backend server for an attempt."""

from collections.abc import Collection
from collections.abc import Iterator
import random
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank.core import dispatch
from lagooncrank.core import groups
from lagooncrank.server import _shared_state
from lagooncrank.server.seeded import _documents
from lagooncrank.server.seeded import _fleet_view

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
        clock: clocks.Clock,
    ) -> None:
        self._failure_domain = failure_domain
        self._shared = shared
        self._view = view
        self._documents = documents
        self._clock = clock
        self.backoff = dispatch.FailureBackoff()

    def choose_service(self, route: model.Route) -> model.ServiceName:
        """Chooses a service at random by the weights of the route."""
        return dispatch.choose_service(route, random.random())

    def choose(
        self,
        service: model.ServiceName,
        model_name: str,
        tried: Collection[str],
    ) -> dispatch.Target | None:
        """Returns the best target, or None if there is none."""
        return dispatch.choose_target(
            self._candidates(service, model_name),
            self._view.loads,
            self._avoided(),
            tried,
            self._failure_domain,
            (random.random(), random.random()),
            has_accurate_loads=dispatch.has_accurate_loads(
                self._view.entry_count
            ),
        )

    def has_untried(
        self,
        service: model.ServiceName,
        model_name: str,
        tried: Collection[str],
    ) -> bool:
        """Returns whether there is a target that was not tried yet."""
        targets = self._candidates(service, model_name)
        return any(t.server_id not in tried for t in targets)

    def slot_budget(
        self, service: model.ServiceName, model_name: str
    ) -> dispatch.SlotBudget | None:
        """Returns the slots of a model's groups that this entry may use now.

        Returns:
            None if no group serves the model.
        """
        heads = list(self._group_heads(service, model_name))
        if not heads:
            return None
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

    def _candidates(
        self, service: model.ServiceName, model_name: str
    ) -> Iterator[dispatch.Target]:
        if model_name:
            return self._group_heads(service, model_name)
        return self._ready_servers(service)

    def _group_heads(
        self, service: model.ServiceName, model_name: str
    ) -> Iterator[dispatch.Target]:
        serving = groups.serving_groups(
            service, model_name, self._shared.view.groups, self._view.table
        )
        for group in serving:
            head = group.head
            record = self._view.table.get(head.server_id)
            if record is not None and record.report.born_ms == head.born_ms:
                yield _target(record.report, group.name)
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
        )

    def _ready_servers(
        self, service: model.ServiceName
    ) -> Iterator[dispatch.Target]:
        for record in self._view.table.ready(service):
            yield _target(record.report, "")


def _target(report: model.ServerReport, group: str) -> dispatch.Target:
    return dispatch.Target(
        report.server_id,
        report.address,
        report.service,
        report.failure_domain,
        report.slots,
        group,
        report.born_ms,
    )
