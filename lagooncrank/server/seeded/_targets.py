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
from lagooncrank.server.seeded import _fleet_view

#: Entries that are taken to run before their number is known.
UNKNOWN_ENTRIES: Final = 8


class Targets:
    """Chooses where a request goes."""

    def __init__(
        self,
        near: model.FailureDomainId,
        shared: _shared_state.ReplicatedState,
        view: _fleet_view.FleetView,
        clock: clocks.Clock,
    ) -> None:
        self._near = near
        self._shared = shared
        self._view = view
        self._clock = clock
        self.suspects = dispatch.Suspects()

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
        now_ms = self._clock.now_ms()
        if model_name:
            targets = self._heads(service, model_name)
        else:
            targets = self._servers(service)
        return dispatch.choose_target(
            targets,
            self._view.loads,
            self.suspects.avoided(now_ms) | self._view.stalled(now_ms),
            tried,
            self._near,
            (random.random(), random.random()),
            knows_loads=self._view.entry_count <= dispatch.MAX_ENTRIES,
        )

    def room(
        self, service: model.ServiceName, model_name: str
    ) -> dispatch.Room | None:
        """Returns what this entry may send to the groups of a model.

        Returns:
            None if no group serves the model.
        """
        heads = list(self._heads(service, model_name))
        if not heads:
            return None
        now_ms = self._clock.now_ms()
        avoided = self.suspects.avoided(now_ms) | self._view.stalled(now_ms)
        usable = [t for t in heads if t.server_id not in avoided] or heads
        entries = max(self._view.entry_count, 1)
        knows_others = self._view.knows_others(now_ms)
        if not knows_others:
            entries = max(entries, UNKNOWN_ENTRIES)
        return self._view.loads.room(usable, entries, knows_others=knows_others)

    def failed(self, target: dispatch.Target) -> None:
        """Notes that a target failed a request."""
        self.suspects.note_failure(target.server_id, self._clock.now_ms())

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
