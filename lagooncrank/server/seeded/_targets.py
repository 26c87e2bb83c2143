"""Targets of a request, from what this entry knows now."""

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

#: Entries that are taken to run before their number is known.
UNKNOWN_ENTRIES: Final = 8
UNKNOWN_DOMAIN: Final = model.FailureDomainId("")


class Targets:
    """Chooses where a request goes."""

    def __init__(
        self,
        near: model.FailureDomainId,
        shared: _shared_state.ReplicatedState,
        view: _fleet_view.FleetView,
        documents: _documents.Documents,
        clock: clocks.Clock,
    ) -> None:
        self._near = near
        self._shared = shared
        self._view = view
        self._documents = documents
        self._clock = clock
        self.suspects = dispatch.FailureBackoff()

    def service_of(self, route: model.Route) -> model.ServiceName:
        """Draws the service of a request by the weights of its route."""
        return dispatch.choose_service(route, random.random())

    def choose(
        self,
        service: model.ServiceName,
        model_name: str,
        tried: Collection[str],
    ) -> dispatch.Target | None:
        """Returns the best target, or None when there is none."""
        return dispatch.choose_target(
            self._of(service, model_name),
            self._view.loads,
            self._avoided(),
            tried,
            self._near,
            (random.random(), random.random()),
            has_accurate_loads=dispatch.has_accurate_loads(
                self._view.entry_count
            ),
        )

    def has_other(
        self,
        service: model.ServiceName,
        model_name: str,
        tried: Collection[str],
    ) -> bool:
        """Whether there is a target that was not tried."""
        targets = self._of(service, model_name)
        return any(t.server_id not in tried for t in targets)

    def room(
        self, service: model.ServiceName, model_name: str
    ) -> dispatch.SlotBudget | None:
        """Returns what this entry may send to the groups of a model.

        Returns:
            None if no group serves the model.
        """
        heads = list(self._heads(service, model_name))
        if not heads:
            return None
        avoided = self._avoided()
        usable = [t for t in heads if t.server_id not in avoided] or heads
        entries = max(self._view.entry_count, 1)
        knows_other_loads = self._view.knows_other_loads(self._clock.now_ms())
        if not knows_other_loads:
            entries = max(entries, UNKNOWN_ENTRIES)
        return self._view.loads.slot_budget(
            usable, entries, knows_other_loads=knows_other_loads
        )

    def failed(self, target: dispatch.Target) -> None:
        """Notes that a target failed a request."""
        self.suspects.record_failure(target.server_id, self._clock.now_ms())

    def _avoided(self) -> set[str]:
        """Returns the servers that failed lately or stand still."""
        now_ms = self._clock.now_ms()
        return self.suspects.avoided(now_ms) | self._view.stalls.known(now_ms)

    def _of(
        self, service: model.ServiceName, model_name: str
    ) -> Iterator[dispatch.Target]:
        if model_name:
            return self._heads(service, model_name)
        return self._servers(service)

    def _heads(
        self, service: model.ServiceName, model_name: str
    ) -> Iterator[dispatch.Target]:
        serving = groups.serving_groups(
            service, model_name, self._shared.view.groups, self._view.table
        )
        for group in serving:
            known = self._view.table.get(group.head.server_id)
            if known is not None:
                yield _target(known.report, group.name)
            else:
                yield self._unheard_head(group)

    def _unheard_head(self, group: model.Group) -> dispatch.Target:
        """Returns a head that has not reported since this entry started."""
        catalog = self._documents.catalog
        return dispatch.Target(
            group.head.server_id,
            group.head.address,
            group.service,
            UNKNOWN_DOMAIN,
            0 if catalog is None else catalog.engine_slots(group.service),
            group.name,
        )

    def _servers(self, service: model.ServiceName) -> Iterator[dispatch.Target]:
        for known in self._view.table.ready(service):
            yield _target(known.report, "")


def _target(report: model.ServerReport, group: str) -> dispatch.Target:
    return dispatch.Target(
        report.server_id,
        report.address,
        report.service,
        report.failure_domain,
        report.slots,
        group,
    )
