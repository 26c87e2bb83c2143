"""Engines and control nodes in trouble, for tests of group changes.

One thread, virtual time and one seed: a run repeats exactly. The replicated
state, the tables of reports, the lifecycle and the planner are the real ones.
"""

from collections.abc import Callable
from collections.abc import Sequence
import heapq
import itertools
import random
from typing import Final

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core import groups
from lagooncrank.core import state
from lagooncrank.core.groups.tests import builders
from lagooncrank.core.groups.tests import emulated_engine

STEP_MS: Final = 50
HEARTBEAT_MS: Final = 1_200
CONTROL_NODES: Final = 3
DOMAINS: Final = ("d1", "d2")
ENGINES_PER_DOMAIN: Final = 7
#: Time without troubles in which the first groups form.
CALM_MS: Final = 3_000
#: Probability that a trouble begins in a step.
TROUBLE_SHARE: Final = 0.06
#: Probability that a report is seconds late.
LATE_REPORT_SHARE: Final = 0.2


class EmulatedFleet:
    """Engines, control nodes and the troubles between them."""

    def __init__(
        self,
        seed: int,
        changed_services: Sequence[model.ServiceConfig] = (),
        calm_ms: int = CALM_MS,
    ) -> None:
        """Prepares the engines and control nodes.

        Args:
            seed: Seed of all choices.
            changed_services: Declarations of the service that troubles change
                to.
            calm_ms: Time without troubles in which the first groups form.
        """
        self._random = random.Random(seed)
        self._service = builders.SERVICE_CONFIG
        self._changed_services = changed_services
        self._calm_ms = calm_ms
        self._now_ms = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.breaches: list[str] = []
        #: Number of times that an engine joined a group while callers are
        #: served, as evidence that the troubles move engines.
        self.groups_formed = 0
        self._engines: dict[str, emulated_engine.EmulatedEngine] = {}
        self._cut_until_ms: dict[str, int] = {}
        self._late_until_ms = 0
        self._slow_commits_until_ms = 0
        for number in range(len(DOMAINS) * ENGINES_PER_DOMAIN):
            engine = emulated_engine.EmulatedEngine(
                number,
                DOMAINS[number // ENGINES_PER_DOMAIN],
                self._engines,
                self._send_report,
                self._record_breach,
            )
            self._engines[engine.report.server_id] = engine
        self._down: set[int] = set()
        self._tables = [self._new_table() for _ in range(CONTROL_NODES)]
        self._machine = state.StateMachine()
        self._commits: list[tuple[int, state.Command, frozenset[str]]] = []
        self._changing: set[str] = set()
        self._term = 1
        self._leader = 0
        self._elect(0)

    def run(self, length_ms: int) -> None:
        """Plays the fleet until a breach, at most for some virtual time."""
        for engine in self._engines.values():
            self._schedule_heartbeat(engine)
        while self._now_ms < length_ms and not self.breaches:
            self._now_ms += STEP_MS
            is_calm = self._now_ms <= self._calm_ms
            if not is_calm and self._random.random() < TROUBLE_SHARE:
                self._random.choice(self._troubles())()
            self._run_events()
            for engine in self._engines.values():
                engine.advance(self._now_ms)
            for table in self._tables:
                table.advance_clock(
                    self._now_ms, self._now_ms, is_connected=True
                )
            self._forward_reports()
            self._apply_commits()
            if self._leader not in self._down:
                self._lead()

    @property
    def open_groups(self) -> list[tuple[str, int]]:
        """Models and sizes of the groups whose head is open, sorted."""
        return sorted(
            (group.model_name, len(group.members))
            for group in self._machine.groups.values()
            if group.phase is model.GroupPhase.SERVING
            and self._engines[group.head.server_id].is_serving_head
        )

    def change_service(
        self, service: model.ServiceConfig, after_ms: int
    ) -> None:
        """Changes the declaration of the service after some time."""

        def change() -> None:
            self._service = service

        self._after(after_ms, change)

    def _record_breach(self, breach: str) -> None:
        self.breaches.append(f"at {self._now_ms} ms: {breach}")

    def _after(self, delay_ms: int, event: Callable[[], None]) -> None:
        entry = (self._now_ms + delay_ms, next(self._numbers), event)
        heapq.heappush(self._events, entry)

    def _run_events(self) -> None:
        while self._events and self._events[0][0] <= self._now_ms:
            heapq.heappop(self._events)[2]()

    # Troubles.

    def _troubles(self) -> tuple[Callable[[], None], ...]:
        changes = (self._change_service,) if self._changed_services else ()
        return (
            *changes,
            self._stop_an_engine,
            self._stop_an_engine,
            self._cut_engines,
            self._delay_orders,
            self._slow_commits,
            self._change_leader,
            self._lose_power,
        )

    def _change_service(self) -> None:
        self._service = self._random.choice(self._changed_services)

    def _stop_an_engine(self) -> None:
        engine = self._random.choice(list(self._engines.values()))
        if engine.is_running:
            engine.stop()
            restart_after_ms = self._random.randint(1_000, 6_000)
            self._after(restart_after_ms, lambda: engine.start(self._now_ms))

    def _cut_engines(self) -> None:
        """Cuts engines off from the control nodes, but not from callers."""
        count = self._random.randint(1, 4)
        for server_id in self._random.sample(list(self._engines), count):
            end_ms = self._now_ms + self._random.randint(1_000, 8_000)
            self._cut_until_ms[server_id] = end_ms

    def _delay_orders(self) -> None:
        self._late_until_ms = self._now_ms + self._random.randint(2_000, 8_000)

    def _slow_commits(self) -> None:
        duration_ms = self._random.randint(500, 3_000)
        self._slow_commits_until_ms = self._now_ms + duration_ms

    def _change_leader(self) -> None:
        old = self._leader
        self._restart_node(old)
        running = [n for n in range(CONTROL_NODES) if n not in self._down]
        if running:
            self._elect(self._random.choice(running))

    def _lose_power(self) -> None:
        for node in range(CONTROL_NODES):
            self._restart_node(node)
        self._after(2_500, lambda: self._elect(self._leader))

    def _restart_node(self, node: int) -> None:
        self._down.add(node)

        def start() -> None:
            self._down.discard(node)
            self._tables[node] = self._new_table()
            for other in set(range(CONTROL_NODES)) - self._down - {node}:
                snapshot = self._tables[other].snapshot(self._now_ms)
                self._tables[node].merge(snapshot, self._now_ms)

        self._after(self._random.randint(500, 2_000), start)

    def _elect(self, node: int) -> None:
        self._leader = node
        self._term += 1
        self._changing.clear()
        self._lifecycle = groups.GroupLifecycle()
        self._planner = groups.Planner()

    def _new_table(self) -> fleet.ServerTable:
        table = fleet.ServerTable(builders.UNREACHABLE_AFTER_MS)
        table.advance_clock(self._now_ms, self._now_ms, is_connected=True)
        return table

    def _is_cut(self, server_id: str) -> bool:
        return self._cut_until_ms.get(server_id, 0) > self._now_ms

    # Reports.

    def _schedule_heartbeat(
        self, engine: emulated_engine.EmulatedEngine
    ) -> None:
        def beat() -> None:
            if engine.is_running:
                engine.publish()
            self._after(HEARTBEAT_MS, beat)

        self._after(self._random.randint(0, HEARTBEAT_MS), beat)

    def _send_report(self, report: model.ServerReport) -> None:
        if self._is_cut(report.server_id) and self._random.random() < 0.8:
            return
        delay_ms = self._random.randint(0, 2) * STEP_MS
        if self._random.random() < LATE_REPORT_SHARE:
            delay_ms = self._random.randint(500, 5_000)
        self._after(delay_ms, lambda: self._receive_report(report))

    def _receive_report(self, report: model.ServerReport) -> None:
        running = [n for n in range(CONTROL_NODES) if n not in self._down]
        if running:
            node = self._random.choice(running)
            self._tables[node].put(report, self._now_ms)

    def _forward_reports(self) -> None:
        for sender, table in enumerate(self._tables):
            batch = table.pop_updates(self._now_ms)
            if batch is None or sender in self._down:
                continue
            for receiver in set(range(CONTROL_NODES)) - self._down - {sender}:
                self._tables[receiver].merge(batch, self._now_ms)
                self._tables[receiver].pop_wanted()

    # The leader.

    def _apply_commits(self) -> None:
        while self._commits and self._commits[0][0] <= self._now_ms:
            _, command, subjects = self._commits.pop(0)
            outcome = self._machine.apply(
                self._machine.applied_index + 1, command
            )
            if isinstance(command, state.FormGroup) and outcome.ok:
                self.groups_formed += self._now_ms > CALM_MS
            self._changing -= subjects

    def _commit(self, command: state.Command, subjects: set[str]) -> None:
        delay_ms = STEP_MS
        if self._now_ms < self._slow_commits_until_ms:
            delay_ms = self._random.randint(500, 2_500)
            # The leader stops waiting, and may decide anew.
            self._after(
                2_000, lambda: self._changing.difference_update(subjects)
            )
        due_ms = self._now_ms + delay_ms
        if self._commits:
            due_ms = max(due_ms, self._commits[-1][0])
        self._changing |= subjects
        self._commits.append((due_ms, command, frozenset(subjects)))

    def _lead(self) -> None:
        table = self._tables[self._leader]
        active_heads = [
            server_id
            for server_id, engine in self._engines.items()
            if engine.is_serving_head and engine.has_all_members
        ]
        for group in list(self._machine.groups.values()):
            if group.name in self._changing:
                continue
            for action in list(
                self._lifecycle.next_actions(
                    group,
                    table,
                    active_heads,
                    self._now_ms,
                    groups.group_size(group, self._service),
                )
            ):
                self._execute(action)
        service = self._service
        unchanging = [
            group
            for group in self._machine.groups.values()
            if group.name not in self._changing
        ]
        changes = groups.obsolete_changes(unchanging, {service.name: service})
        for change in list(changes):
            self._execute(change)
        stray_orders = self._lifecycle.stray_orders(
            service.name,
            table,
            self._machine.groups,
            self._machine.last_epoch,
            active_heads,
            self._now_ms,
        )
        for order in list(stray_orders):
            self._execute(order)
        if self._changing:
            return
        planned = self._planner.plan(
            service,
            table,
            self._machine.groups,
            now_ms=self._now_ms,
            allow_cold_members=False,
            expects_more_engines=False,
        )
        for planned_action in list(planned):
            self._execute(planned_action)

    def _execute(self, action: groups.Action) -> None:
        match action:
            case groups.Order():
                self._send_order(action)
            case groups.PhaseChange(group=group):
                self._commit(
                    state.SetGroupPhase(
                        group.name,
                        action.phase,
                        self._term,
                        action.waits_for_work,
                        action.ready_sequences,
                        group.phase,
                    ),
                    {group.name},
                )
            case groups.MemberRelease(group=group):
                self._commit(
                    state.ReleaseMembers(
                        group.name, action.server_ids, self._term
                    ),
                    {group.name},
                )
            case groups.PlannedGroup(members=members):
                self._commit(
                    state.FormGroup(
                        action.service, action.model_name, members, self._term
                    ),
                    {m.server_id for m in members},
                )

    def _send_order(self, order: groups.Order) -> None:
        server_id = order.member.server_id
        token = groups.FencingToken.for_engine(
            server_id,
            self._term,
            self._machine.groups,
            self._machine.last_epoch,
        )
        if self._is_cut(server_id):
            return
        delay_ms = 0
        is_late = self._now_ms < self._late_until_ms
        if is_late and self._random.random() < 0.5:
            delay_ms = self._random.randint(2_000, 12_000)
        engine = self._engines[server_id]
        born_ms = engine.report.born_ms

        def execute() -> None:
            # An order waits at the process that received it.
            if engine.report.born_ms == born_ms:
                engine.execute(order, token, self._now_ms)

        self._after(delay_ms, execute)
