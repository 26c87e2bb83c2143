"""Simulates the leader's decisions over a fleet that loses engines."""

from collections.abc import Iterator
import dataclasses
import itertools
import random
from typing import Final

from bench import _repair_engines
from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core import groups

SERVICE: Final = model.ServiceName("writers")
STEP_MS: Final = 100
#: Simulated time before the first request.
LEAD_MS: Final = 10_000
#: Time from a loss until the leader knows of it.
DETECTION_MS: Final = 1_000
REPORT_INTERVAL_MS: Final = 1_200
UNREACHABLE_AFTER_MS: Final = 3_300
LOAD_WINDOW_MS: Final = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Engines, models and load of one deployment."""

    name: str
    domains: int
    engines_per_domain: int
    models: tuple[model.ModelProfile, ...]
    #: Replicas that each model needs to serve its load in time, by model.
    demand: dict[str, float]
    #: Worth of the requests due per second, by model.
    worth_per_s: dict[str, float]
    loss_interval_ms: int = 3_000
    engines_per_loss: int = 2
    #: When the first replacement arrives, after the first request.
    arrivals_from_ms: int = 12_000
    length_ms: int = 34_000

    def service(self) -> model.ServiceConfig:
        """Returns the configuration of the engines' service."""
        engine = model.EngineProfile(self.models, 13, 795_000, 4.5, 6)
        return model.ServiceConfig(SERVICE, "/healthz", 314, engine)


@dataclasses.dataclass(slots=True)
class Figures:
    """Costs of one simulated day."""

    #: Seconds by which replicas were missing to serve the load, over models.
    missing_replica_s: float = 0.0
    #: Seconds for which running engines were in no serving replica.
    stranded_engine_s: float = 0.0
    #: Share of the worth that was due and could not be served in time.
    worth_lost: float = 0.0


class FleetSimulation:
    """One day of a deployment under the planner's present policy."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._service = deployment.service()
        self._random = random.Random(seed)
        self._profiles = {m.name: m for m in deployment.models}
        self._store = _repair_engines.WeightStore(6)
        self._numbers = itertools.count(1)
        self._last_epoch = 0
        self._losses = itertools.count(seed)
        self._engines: dict[str, _repair_engines.SimulatedEngine] = {}
        self._lost: list[tuple[int, _repair_engines.SimulatedEngine]] = []
        self._free_places: list[str] = []
        self._groups: dict[str, model.Group] = {}
        self._table = fleet.ServerTable(UNREACHABLE_AFTER_MS)
        self._planner = groups.Planner()
        self._staging = groups.StagingPlanner(LOAD_WINDOW_MS)
        self._lifecycle = groups.GroupLifecycle()
        self._now_ms = 0
        self.figures = Figures()

    def run(self) -> Figures:
        """Simulates the whole day."""
        deployment = self._deployment
        for number in range(deployment.domains * deployment.engines_per_domain):
            self._add_engine(f"d{number // deployment.engines_per_domain}")
        events = dict(self._schedule())
        end_ms = LEAD_MS + deployment.length_ms
        while self._now_ms < end_ms:
            self._now_ms += STEP_MS
            match events.get(self._now_ms):
                case "loss":
                    self._lose_engines()
                case "arrival":
                    self._add_arrivals()
            self._step()
            if self._now_ms > LEAD_MS:
                self._account()
        total = sum(deployment.worth_per_s.values())
        self.figures.worth_lost /= total * deployment.length_ms / 1_000
        return self.figures

    @property
    def _is_startup(self) -> bool:
        return self._now_ms <= LEAD_MS

    def _schedule(self) -> Iterator[tuple[int, str]]:
        deployment = self._deployment
        interval_ms = deployment.loss_interval_ms
        for start_ms in range(2_500, deployment.length_ms - 6_000, interval_ms):
            jitter_ms = self._random.randrange(0, 1_000, STEP_MS)
            yield LEAD_MS + start_ms + jitter_ms, "loss"
        first_ms = deployment.arrivals_from_ms
        for start_ms in range(first_ms, deployment.length_ms, interval_ms):
            yield LEAD_MS + start_ms + 50 // STEP_MS, "arrival"

    def _add_engine(self, domain: str) -> None:
        number = next(self._numbers)
        report = model.ServerReport(
            model.BackendServerId(f"e{number:04}"),
            self._now_ms + 1,
            1,
            SERVICE,
            f"10.0.{number // 250}.{number % 250}:80",
            model.FailureDomainId("a"),
            model.ServerState.READY,
            13,
            domain,
        )
        self._engines[report.server_id] = _repair_engines.SimulatedEngine(
            report, self._profiles, self._store
        )

    def _lose_engines(self) -> None:
        """Loses members of groups, in each pair of fabric domains in turn."""
        pair = next(self._losses) % ((self._deployment.domains + 1) // 2)
        domains = {f"d{2 * pair}", f"d{2 * pair + 1}"}
        joined = [
            e
            for e in self._engines.values()
            if e.report.membership and e.report.fabric_domain in domains
        ]
        count = min(self._deployment.engines_per_loss, len(joined))
        for engine in self._random.sample(joined, count):
            engine.lose()
            self._lost.append((self._now_ms + DETECTION_MS, engine))
            self._free_places.append(engine.report.fabric_domain)
            del self._engines[engine.report.server_id]

    def _add_arrivals(self) -> None:
        for _ in range(self._deployment.engines_per_loss):
            if self._free_places:
                self._add_engine(self._free_places.pop(0))

    def _step(self) -> None:
        for engine in self._engines.values():
            engine.advance(STEP_MS, self._now_ms)
            if self._now_ms % REPORT_INTERVAL_MS == 0:
                engine.renew_report()
            self._table.put(engine.report, self._now_ms)
        self._table.advance_clock(self._now_ms, self._now_ms, is_connected=True)
        for known_ms, engine in self._lost:
            if known_ms == self._now_ms:
                self._table.mark_unreachable(engine.report.server_id)
        for group in list(self._groups.values()):
            for action in list(
                self._lifecycle.next_actions(
                    group, self._table, (), self._now_ms
                )
            ):
                self._execute(action)
        stray_orders = self._lifecycle.stray_orders(
            self._service.name,
            self._table,
            self._groups,
            self._last_epoch,
            (),
            self._now_ms,
        )
        for order in list(stray_orders):
            self._execute(order)
        self._plan()

    def _plan(self) -> None:
        expects_more_engines = self._now_ms < REPORT_INTERVAL_MS
        actions = self._planner.plan(
            self._service,
            self._table,
            self._groups,
            now_ms=self._now_ms,
            allow_cold_members=self._is_startup,
            expects_more_engines=expects_more_engines,
        )
        for action in list(actions):
            self._execute(action)
        arguments = (self._service, self._table, self._groups, self._now_ms)
        loads = (
            self._staging.startup_loads(
                *arguments, expects_more_engines=expects_more_engines
            )
            if self._is_startup
            else self._staging.runtime_loads(*arguments)
        )
        for order in list(loads):
            self._execute(order)

    def _execute(self, action: groups.Action) -> None:
        match action:
            case groups.Order():
                engine = self._engines.get(action.member.server_id)
                if engine is not None:
                    engine.execute(
                        action, self._now_ms, is_startup=self._is_startup
                    )
            case groups.StageOrder():
                engine = self._engines.get(action.member.server_id)
                if engine is not None:
                    engine.stage(action.model_name, is_startup=self._is_startup)
            case groups.PhaseChange(group=group, phase=None):
                self._groups.pop(group.name, None)
            case groups.PhaseChange(group=group, phase=phase):
                self._groups[group.name] = dataclasses.replace(
                    group,
                    phase=phase or group.phase,
                    waits_for_work=action.waits_for_work,
                )
            case groups.MemberRelease(group=group):
                remaining = tuple(
                    m
                    for m in group.members
                    if m.server_id not in action.server_ids
                )
                self._groups[group.name] = dataclasses.replace(
                    group, members=remaining
                )
            case groups.PlannedGroup():
                self._last_epoch += 1
                epoch = self._last_epoch
                self._groups[f"g{epoch}"] = model.Group(
                    f"g{epoch}",
                    epoch,
                    action.service,
                    action.model_name,
                    action.members,
                    model.GroupPhase.FORMING,
                    is_preload=action.is_preload,
                )

    def _account(self) -> None:
        step_s = STEP_MS / 1_000
        serving: dict[str, int] = dict.fromkeys(self._profiles, 0)
        engines_serving = 0
        for group in self._groups.values():
            members = [self._engines.get(m.server_id) for m in group.members]
            head = members[0]
            is_open = head is not None and head.open_epoch == group.epoch
            if is_open and all(m is not None for m in members):
                serving[group.model_name] += 1
                engines_serving += len(members)
        figures = self.figures
        stranded = len(self._engines) - engines_serving
        figures.stranded_engine_s += stranded * step_s
        for name, needed in self._deployment.demand.items():
            missing = max(needed - serving[name], 0.0)
            figures.missing_replica_s += missing * step_s
            worth = self._deployment.worth_per_s[name]
            figures.worth_lost += worth * missing / needed * step_s
