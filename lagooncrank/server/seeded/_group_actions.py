"""Executes what the planner decides on groups.

Changes of the replicated state are proposed, and orders sent to engines, each
in a task of its own: the next step does not wait for them.
"""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import model
from lagooncrank.core import groups
from lagooncrank.core import state
from lagooncrank.server import _shared_state
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _control_metrics
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _fleet_view

PROPOSAL_TIMEOUT_MS: Final = 2_000

#: Starts a task for some work, given the name of the part that it is of.
Spawn = Callable[[str, Coroutine[Any, Any, None]], None]


class GroupActions:
    """Commits changes and sends orders.

    Args:
        shared: Replicated state.
        view: What this node knows of servers and other nodes.
        engines: Client for orders.
        clock: Source of time.
        log: Receives a line for each change and each order.
        metrics: Counts changes and orders.
        spawn: Starts tasks.
        on_change: Called once the outcome of a change is known.
    """

    def __init__(
        self,
        shared: _shared_state.ReplicatedState,
        view: _fleet_view.FleetView,
        engines: _adapter.EngineClient,
        clock: clocks.Clock,
        log: _decision_log.DecisionLog,
        metrics: _control_metrics.ControlMetrics,
        spawn: Spawn,
        on_change: Callable[[], None],
    ) -> None:
        self._shared = shared
        self._view = view
        self._engines = engines
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._spawn = spawn
        self._on_change = on_change
        #: Groups and engines with a change that is being committed.
        self._changing: set[str] = set()

    @property
    def is_changing(self) -> bool:
        """Whether any change is being committed."""
        return bool(self._changing)

    def unchanging_groups(self) -> list[model.Group]:
        """Returns the groups without a change that is being committed."""
        return [
            group
            for group in self._shared.view.groups.values()
            if group.name not in self._changing
        ]

    def execute(self, action: groups.Action, term: int) -> None:
        """Starts to carry out an action.

        Args:
            action: The action.
            term: Term in which this node leads.
        """
        match action:
            case groups.Order():
                token = self._token_for(action.member, term)
                self._spawn("order", self._send(action, token))
            case groups.StageOrder():
                token = self._token_for(action.member, term)
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

    def _token_for(
        self, member: model.GroupMember, term: int
    ) -> groups.FencingToken:
        state_view = self._shared.view
        return groups.FencingToken.for_engine(
            member.server_id,
            term,
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
        self._on_change()

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
            problem=outcome.problem,
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
            problem=outcome.problem,
        )
