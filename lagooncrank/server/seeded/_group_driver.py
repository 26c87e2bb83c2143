"""Forms and repairs groups while this node leads."""

import asyncio
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
from lagooncrank.server.seeded import _control_metrics
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _documents
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _wire

STEP_S: Final = 0.1
PROPOSAL_TIMEOUT_MS: Final = 2_000
#: Wait before the members of a group that stands still are probed again.
PROBE_AGAIN_MS: Final = 1_000


class GroupDriver(mode.Service):  # type: ignore[misc, unused-ignore]
    """Commits what the planner decides, then sends the orders."""

    def __init__(
        self,
        own: settings.SeededSettings,
        shared: _shared_state.ReplicatedState,
        view: _fleet_view.FleetView,
        documents: _documents.Documents,
        engines: _wire.EngineClient,
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
        self._life_cycle = groups.GroupLifecycle()
        #: When the members of a group were last probed, by epoch.
        self._probed_ms: dict[int, int] = {}
        self._interval_ms = own.timing.report_interval_ms
        self._planner = groups.Planner()
        self._staging = groups.StagingPlanner(own.loads.window_ms)
        self._term: int | None = None
        self._proposing: set[str] = set()
        self._has_served = False
        self._wake = asyncio.Event()
        view.listeners.append(self._wake.set)
        shared.on_applied(lambda _command, _outcome: self._wake.set())

    @mode.Service.task  # type: ignore[misc, unused-ignore]
    async def _step_when_woken(self) -> None:
        while not self.should_stop:
            try:
                async with asyncio.timeout(STEP_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            self.step()

    def step(self) -> None:
        """Does what is due if this node leads."""
        if not self._leads():
            return
        now_ms = self._clock.now_ms()
        held = self._shared.view.groups
        self._probe_stalled(now_ms)
        working = self._view.nodes.working(now_ms)
        for group in list(held.values()):
            if group.name in self._proposing:
                continue
            actions = self._life_cycle.next_actions(
                group, self._view.table, working, now_ms
            )
            for action in actions:
                self._carry_out(action)
        self._form(now_ms)

    def _leads(self) -> bool:
        is_leader = self._shared.is_leader and self._shared.lease_holds()
        term = self._shared.term if is_leader else None
        if term != self._term:
            self._term = term
            self._life_cycle.clear()
            self._log.write(decisions.Event.LEADER, term=term, leads=is_leader)
        return is_leader

    def _probe_stalled(self, now_ms: int) -> None:
        """Asks the members of groups that stand still whether they live."""
        stalled = self._view.nodes.stalled(now_ms)
        if not stalled:
            return
        for group in self._shared.view.groups.values():
            if group.phase is not model.GroupPhase.SERVING:
                continue
            probed_ms = self._probed_ms.get(group.epoch)
            is_due = probed_ms is None or now_ms - probed_ms >= PROBE_AGAIN_MS
            if group.head.server_id in stalled and is_due:
                self._probed_ms[group.epoch] = now_ms
                for member in group.members:
                    self.add_future(self._probe(group, member))

    async def _probe(
        self, group: model.Group, member: model.GroupMember
    ) -> None:
        is_alive = await self._engines.is_alive(member)
        if is_alive:
            return
        self._view.table.mark_unreachable(member.server_id)
        self._log.write(
            decisions.Event.SERVER,
            server=member.server_id,
            state="no answer to a probe",
            group=group.name,
        )
        self._wake.set()

    def _form(self, now_ms: int) -> None:
        catalog = self._documents.catalog
        if catalog is None or self._proposing:
            return
        is_early = not self._was_used(now_ms)
        table = self._view.table
        held = self._shared.view.groups
        stages = (
            self._staging.startup_loads
            if is_early
            else self._staging.runtime_loads
        )
        for service in catalog.services.values():
            plan = self._planner.plan(
                service,
                table,
                held,
                now_ms=now_ms,
                allow_cold_members=is_early,
                expects_more_engines=now_ms - table.newest_start_ms
                < self._interval_ms,
            )
            for action in plan:
                self._carry_out(action)
            strays = self._life_cycle.orphan_orders(
                service.name, table, held, now_ms
            )
            for order in strays:
                self._carry_out(order)
            for stage in stages(service, table, held, now_ms):
                self._carry_out(stage)

    def _was_used(self, now_ms: int) -> bool:
        """Whether any entry has taken a request since the system began."""
        if not self._has_served:
            live = self._view.nodes.live(now_ms)
            self._has_served = any(n.has_served for n in live)
        return self._has_served

    def _carry_out(self, action: groups.Action) -> None:
        term = self._term or 0
        match action:
            case groups.Order():
                self.add_future(self._send(action))
            case groups.StageOrder():
                self.add_future(self._stage(action))
            case groups.PhaseChange(group=group):
                move = state.SetGroupPhase(
                    group.name, action.phase, term, action.waits_for_work
                )
                self._commit(
                    move,
                    action.phase or "forgotten",
                    {group.name},
                    group=group.name,
                    epoch=group.epoch,
                    phase=action.phase,
                    reason=action.reason,
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
                )
            case groups.PlannedGroup():
                form = state.FormGroup(
                    action.service, action.model_name, action.members, term
                )
                members = [m.server_id for m in action.members]
                self._commit(
                    form,
                    model.GroupPhase.FORMING,
                    set(members),
                    phase=model.GroupPhase.FORMING,
                    model=action.model_name,
                    members=members,
                    cold_members=action.cold_members,
                )

    def _commit(
        self,
        command: state.Command,
        change: str,
        subjects: set[str],
        **fields: Any,
    ) -> None:
        """Proposes a change; nothing else is done to its subjects meanwhile."""
        self._proposing.update(subjects)
        self.add_future(self._propose(command, change, subjects, fields))

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
            self._proposing.difference_update(subjects)
        self._metrics.changed(change, outcome.code.name)
        if outcome.group is not None:
            fields["group"] = outcome.group.name
        self._log.write(
            decisions.Event.GROUP, outcome=outcome.code.name, **fields
        )
        self._wake.set()

    async def _stage(self, stage: groups.StageOrder) -> None:
        began_ms = self._clock.now_ms()
        outcome = await self._engines.stage(stage, self._shared.term)
        took_ms = self._clock.now_ms() - began_ms
        self._metrics.answered("stage", outcome.status, took_ms)
        self._log.write(
            decisions.Event.ORDER,
            order="stage",
            model=stage.model_name,
            server=stage.member.server_id,
            status=outcome.status,
        )

    async def _send(self, order: groups.Order) -> None:
        began_ms = self._clock.now_ms()
        outcome = await self._engines.send(order, self._shared.term)
        took_ms = self._clock.now_ms() - began_ms
        self._metrics.answered(order.kind, outcome.status, took_ms)
        self._log.write(
            decisions.Event.ORDER,
            order=order.kind,
            group=order.group.name,
            epoch=order.group.epoch,
            server=order.member.server_id,
            status=outcome.status,
        )
