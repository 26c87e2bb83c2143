"""Forms and repairs groups while this node is the leader."""

import asyncio
from collections.abc import Collection
from collections.abc import Coroutine
import functools
from typing import Any
from typing import Final

import mode

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank import settings
from lagooncrank.core import groups
from lagooncrank.server import _shared_state
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _control_metrics
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _documents
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _group_actions
from lagooncrank.server.seeded import _stall_probes
from lagooncrank.server.seeded import _step_guard

STEP_INTERVAL_S: Final = 0.1


class GroupDriver(mode.Service):  # type: ignore[misc, unused-ignore]
    """Lets the planner and the groups' lifecycles act, step by step."""

    def __init__(
        self,
        node_settings: settings.SeededSettings,
        shared: _shared_state.ReplicatedState,
        view: _fleet_view.FleetView,
        documents: _documents.DocumentStore,
        engines: _adapter.EngineClient,
        clock: clocks.Clock,
        observed_clock: observed_time.ObservedClock,
        log: _decision_log.DecisionLog,
        metrics: _control_metrics.ControlMetrics,
    ) -> None:
        super().__init__()
        self._shared = shared
        self._view = view
        self._documents = documents
        self._clock = clock
        self._observed_clock = observed_clock
        self._log = log
        self._guard = _step_guard.StepGuard(log)
        self._lifecycle = groups.GroupLifecycle()
        self._report_interval_ms = node_settings.timing.report_interval_ms
        self._planner = groups.Planner()
        self._staging = groups.StagingPlanner(node_settings.loads.window_ms)
        self._term: int | None = None
        self._has_served = False
        self._wake = asyncio.Event()
        self._actions = _group_actions.GroupActions(
            shared,
            view,
            engines,
            clock,
            log,
            metrics,
            self._spawn,
            self._wake.set,
        )
        self._probes = _stall_probes.StallProbes(
            shared,
            view,
            engines,
            observed_clock,
            log,
            self._spawn,
            self._wake.set,
        )
        view.listeners.append(self._wake.set)
        shared.on_applied(lambda _command, _outcome: self._wake.set())

    @mode.Service.task  # type: ignore[misc, unused-ignore]
    async def _run_steps(self) -> None:
        while not self.should_stop:
            try:
                async with asyncio.timeout(STEP_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            self._guard.run("step", self.step)

    def step(self) -> None:
        """Executes all actions that are due, if this node is the leader."""
        if not self._check_leadership():
            return
        now_ms = self._clock.now_ms()
        self._probes.start_due(now_ms)
        observed_ms = self._observed_clock.now_ms()
        working = self._view.nodes.working(observed_ms)
        for group in self._actions.unchanging_groups():
            self._guard.run(
                "group",
                functools.partial(
                    self._advance_group, group, working, observed_ms
                ),
                group.name,
            )
        self._guard.run("obsolete groups", self._dissolve_obsolete)
        self._order_strays(working, observed_ms)
        self._plan_groups(now_ms)

    def _advance_group(
        self, group: model.Group, working: Collection[str], observed_ms: int
    ) -> None:
        actions = self._lifecycle.next_actions(
            group,
            self._view.table,
            working,
            observed_ms,
            self._size_now(group),
        )
        for action in actions:
            self._execute(action)

    def _size_now(self, group: model.Group) -> int | None:
        catalog = self._documents.catalog
        if catalog is None or group.service not in catalog.services:
            return None
        return groups.group_size(group, catalog.services[group.service])

    def _dissolve_obsolete(self) -> None:
        catalog = self._documents.catalog
        if catalog is None:
            return
        unchanging = self._actions.unchanging_groups()
        for change in groups.obsolete_changes(unchanging, catalog.services):
            self._execute(change)

    def _order_strays(self, working: Collection[str], observed_ms: int) -> None:
        catalog = self._documents.catalog
        if catalog is None:
            return
        for service in catalog.services.values():
            self._guard.run(
                "strays",
                functools.partial(
                    self._order_strays_of, service.name, working, observed_ms
                ),
                service.name,
            )

    def _order_strays_of(
        self,
        service: model.ServiceName,
        working: Collection[str],
        observed_ms: int,
    ) -> None:
        state_view = self._shared.view
        stray_orders = self._lifecycle.stray_orders(
            service,
            self._view.table,
            state_view.groups,
            state_view.last_epoch,
            working,
            observed_ms,
        )
        for order in stray_orders:
            self._execute(order)

    def _check_leadership(self) -> bool:
        is_leader = self._shared.is_leader and self._shared.lease_holds()
        term = self._shared.term if is_leader else None
        if term != self._term:
            self._term = term
            self._lifecycle.clear()
            self._log.write(decisions.Event.LEADER, term=term, leads=is_leader)
        return is_leader

    def _plan_groups(self, now_ms: int) -> None:
        catalog = self._documents.catalog
        if catalog is None or self._actions.is_changing:
            return
        is_startup = not self._has_served_requests()
        for service in catalog.services.values():
            self._guard.run(
                "plan",
                functools.partial(
                    self._plan_service, service, now_ms, is_startup=is_startup
                ),
                service.name,
            )

    def _plan_service(
        self, service: model.ServiceConfig, now_ms: int, *, is_startup: bool
    ) -> None:
        table = self._view.table
        current_groups = self._shared.view.groups
        expects_more_engines = (
            now_ms - table.newest_start_ms < self._report_interval_ms
        )
        actions = self._planner.plan(
            service,
            table,
            current_groups,
            now_ms=now_ms,
            allow_cold_members=is_startup,
            expects_more_engines=expects_more_engines,
        )
        for action in actions:
            self._execute(action)
        if is_startup:
            loads = self._staging.startup_loads(
                service,
                table,
                current_groups,
                now_ms,
                expects_more_engines=expects_more_engines,
            )
        else:
            loads = self._staging.runtime_loads(
                service, table, current_groups, now_ms
            )
        for stage_order in loads:
            self._execute(stage_order)

    def _spawn(self, part: str, work: Coroutine[Any, Any, None]) -> None:
        """Runs work of its own task; an error in it ends nothing else."""
        self.add_future(self._guard.watch(part, work))

    def _has_served_requests(self) -> bool:
        """Returns whether any entry has received a request since its start."""
        if not self._has_served:
            live = self._view.nodes.live(self._observed_clock.now_ms())
            self._has_served = any(n.has_served for n in live)
        return self._has_served

    def _execute(self, action: groups.Action) -> None:
        self._actions.execute(action, self._term or 0)
