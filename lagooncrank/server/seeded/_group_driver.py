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
from lagooncrank import settings
from lagooncrank.core import groups
from lagooncrank.core import state
from lagooncrank.server import _shared_state
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _control_metrics
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _documents
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _step_guard

STEP_INTERVAL_S: Final = 0.1
PROPOSAL_TIMEOUT_MS: Final = 2_000
#: Minimum time between two probes of the members of a stalled group.
PROBE_INTERVAL_MS: Final = 1_000


class GroupDriver(mode.Service):  # type: ignore[misc, unused-ignore]
    """Executes the planner's decisions: commits changes and sends orders."""

    def __init__(
        self,
        node_settings: settings.SeededSettings,
        shared: _shared_state.ReplicatedState,
        view: _fleet_view.FleetView,
        documents: _documents.DocumentStore,
        engines: _adapter.EngineClient,
        clock: clocks.Clock,
        log: _decision_log.DecisionLog,
        metrics: _control_metrics.ControlMetrics,
    ) -> None:
        super().__init__()
        self._metrics = metrics
        self._shared = shared
        self._view = view
        self._documents = documents
        self._engines = engines
        self._clock = clock
        self._log = log
        self._guard = _step_guard.StepGuard(log)
        self._lifecycle = groups.GroupLifecycle()
        #: Time of the last probe of a group's members, by epoch.
        self._probed_ms: dict[int, int] = {}
        self._report_interval_ms = node_settings.timing.report_interval_ms
        self._planner = groups.Planner()
        self._staging = groups.StagingPlanner(node_settings.loads.window_ms)
        self._term: int | None = None
        #: Groups and engines with a change that is being committed.
        self._changing: set[str] = set()
        self._has_served = False
        self._wake = asyncio.Event()
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
        current_groups = self._shared.view.groups
        self._probe_stalled(now_ms)
        working = self._view.nodes.working(now_ms)
        for group in list(current_groups.values()):
            if group.name not in self._changing:
                self._guard.run(
                    "group",
                    functools.partial(
                        self._advance_group, group, working, now_ms
                    ),
                    group.name,
                )
        self._guard.run("obsolete groups", self._dissolve_obsolete)
        self._order_strays(now_ms)
        self._plan_groups(now_ms)

    def _advance_group(
        self, group: model.Group, working: Collection[str], now_ms: int
    ) -> None:
        actions = self._lifecycle.next_actions(
            group, self._view.table, working, now_ms
        )
        for action in actions:
            self._execute(action)

    def _dissolve_obsolete(self) -> None:
        catalog = self._documents.catalog
        if catalog is None:
            return
        unchanging = [
            group
            for group in self._shared.view.groups.values()
            if group.name not in self._changing
        ]
        for change in groups.obsolete_changes(unchanging, catalog.services):
            self._execute(change)

    def _order_strays(self, now_ms: int) -> None:
        catalog = self._documents.catalog
        if catalog is None:
            return
        for service in catalog.services.values():
            self._guard.run(
                "strays",
                functools.partial(self._order_strays_of, service.name, now_ms),
                service.name,
            )

    def _order_strays_of(self, service: model.ServiceName, now_ms: int) -> None:
        state_view = self._shared.view
        stray_orders = self._lifecycle.stray_orders(
            service,
            self._view.table,
            state_view.groups,
            state_view.last_epoch,
            now_ms,
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

    def _probe_stalled(self, now_ms: int) -> None:
        """Probes the members of groups that have stalled or may have."""
        current_groups = self._shared.view.groups
        epochs = {group.epoch for group in current_groups.values()}
        self._probed_ms = {
            epoch: probed_ms
            for epoch, probed_ms in self._probed_ms.items()
            if epoch in epochs
        }
        nodes = self._view.nodes
        stalled = nodes.stalled(now_ms) | nodes.suspected(now_ms)
        if not stalled:
            return
        for group in current_groups.values():
            if group.phase is not model.GroupPhase.SERVING:
                continue
            probed_ms = self._probed_ms.get(group.epoch)
            is_due = (
                probed_ms is None or now_ms - probed_ms >= PROBE_INTERVAL_MS
            )
            if group.head.server_id in stalled and is_due:
                self._probed_ms[group.epoch] = now_ms
                for member in group.members:
                    self._spawn("probe", self._probe(group, member))

    async def _probe(
        self, group: model.Group, member: model.GroupMember
    ) -> None:
        is_alive = await self._engines.is_alive(member)
        if is_alive:
            return
        self._view.table.mark_unreachable(member.server_id, member.born_ms)
        self._log.write(
            decisions.Event.SERVER,
            server=member.server_id,
            state="no answer to a probe",
            group=group.name,
        )
        self._wake.set()

    def _plan_groups(self, now_ms: int) -> None:
        catalog = self._documents.catalog
        if catalog is None or self._changing:
            return
        is_startup = not self._has_served_requests(now_ms)
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

    def _has_served_requests(self, now_ms: int) -> bool:
        """Returns whether any entry has received a request since its start."""
        if not self._has_served:
            live = self._view.nodes.live(now_ms)
            self._has_served = any(n.has_served for n in live)
        return self._has_served

    def _execute(self, action: groups.Action) -> None:
        term = self._term or 0
        match action:
            case groups.Order():
                token = self._token_for(action.member)
                self._spawn("order", self._send(action, token))
            case groups.StageOrder():
                token = self._token_for(action.member)
                self._spawn("load", self._stage(action, token))
            case groups.PhaseChange(group=group):
                command = state.SetGroupPhase(
                    group.name,
                    action.phase,
                    term,
                    action.waits_for_work,
                    action.ready_sequences,
                    group.phase,
                )
                self._commit(
                    command,
                    action.phase or "forgotten",
                    {group.name},
                    group=group.name,
                    epoch=group.epoch,
                    phase=action.phase,
                    reason=action.reason,
                    reports=self._report_versions(group),
                )
            case groups.MemberRelease(group=group):
                released = action.server_ids
                self._commit(
                    state.ReleaseMembers(group.name, released, term),
                    "members_released",
                    {group.name},
                    group=group.name,
                    epoch=group.epoch,
                    released=released,
                    reports=self._report_versions(group),
                )
            case groups.PlannedGroup():
                form_group = state.FormGroup(
                    action.service,
                    action.model_name,
                    action.members,
                    term,
                    action.is_preload,
                )
                members = [m.server_id for m in action.members]
                self._commit(
                    form_group,
                    model.GroupPhase.FORMING,
                    set(members),
                    phase=model.GroupPhase.FORMING,
                    model=action.model_name,
                    members=members,
                    cold_members=action.cold_members,
                    is_preload=action.is_preload,
                )

    def _token_for(self, member: model.GroupMember) -> groups.FencingToken:
        state_view = self._shared.view
        return groups.FencingToken.for_engine(
            member.server_id,
            self._term or 0,
            state_view.groups,
            state_view.last_epoch,
        )

    def _report_versions(self, group: model.Group) -> dict[str, Any]:
        """Returns which reports of a group's members a decision is based on."""
        now_ms = self._clock.now_ms()
        versions: dict[str, Any] = {}
        for member in group.members:
            record = self._view.table.get(member.server_id)
            if record is None:
                continue
            report = record.report
            versions[member.server_id] = {
                "born_ms": report.born_ms,
                "sequence": report.sequence,
                "age_ms": now_ms - record.last_seen_ms,
                "membership": report.membership,
            }
        return versions

    def _commit(
        self,
        command: state.Command,
        change: str,
        subjects: set[str],
        **fields: Any,
    ) -> None:
        """Proposes a change, and blocks other changes to the same subjects."""
        self._changing.update(subjects)
        self._spawn("change", self._propose(command, change, subjects, fields))

    async def _propose(
        self,
        command: state.Command,
        change: str,
        subjects: set[str],
        fields: dict[str, Any],
    ) -> None:
        try:
            outcome = await self._shared.propose(command, PROPOSAL_TIMEOUT_MS)
        finally:
            self._changing.difference_update(subjects)
        self._metrics.count_group_change(change, outcome.code.name)
        if outcome.group is not None:
            fields["group"] = outcome.group.name
        self._log.write(
            decisions.Event.GROUP, outcome=outcome.code.name, **fields
        )
        self._wake.set()

    async def _stage(
        self, order: groups.StageOrder, token: groups.FencingToken
    ) -> None:
        began_ms = self._clock.now_ms()
        outcome = await self._engines.stage(order, token)
        took_ms = self._clock.now_ms() - began_ms
        self._metrics.observe_order("stage", outcome.status, took_ms)
        self._log.write(
            decisions.Event.ORDER,
            order="stage",
            model=order.model_name,
            server=order.member.server_id,
            status=outcome.status,
        )

    async def _send(
        self, order: groups.Order, token: groups.FencingToken
    ) -> None:
        """Sends an order with the token of its decision.

        An engine that has taken a later order refuses the lower token.
        """
        began_ms = self._clock.now_ms()
        outcome = await self._engines.send(order, token)
        took_ms = self._clock.now_ms() - began_ms
        self._metrics.observe_order(order.kind, outcome.status, took_ms)
        self._log.write(
            decisions.Event.ORDER,
            order=order.kind,
            group=order.group.name,
            epoch=order.group.epoch,
            server=order.member.server_id,
            status=outcome.status,
        )
