"""Plans which hosts load which models in advance.

Before the first request is served, loads are short and disturb no caller.
Every host then stages a model other than the one that its engine serves, so
that engines of one fabric domain can switch models within seconds. Later
loads take long, so there are few of them.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import Final

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core.groups import _actions
from lagooncrank.core.groups import _inventory
from lagooncrank.core.groups import _load_rate
from lagooncrank.core.groups import _profiles
from lagooncrank.core.groups import _runtime_loads
from lagooncrank.core.groups import _startup_loads

#: Added to the expected duration of a load before it counts as failed.
LOAD_TIMEOUT_MARGIN_MS: Final = 8_000
#: Share of the concurrent loads available to loads that no idle engine needs.
SECOND_MODEL_SHARE: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _StartedLoad:
    """A load that this leader has ordered."""

    model_name: str
    #: Monotonic time at which the load counts as failed.
    timeout_at_ms: int


class StagingPlanner:
    """Plans and tracks the loads that this leader starts."""

    def __init__(self, window_ms: int) -> None:
        self._rate_limiter = _load_rate.LoadRateLimiter(window_ms)
        #: Newest load for each engine start, by server id and start time.
        self._started: dict[tuple[str, int], _StartedLoad] = {}

    def loads_in_progress(
        self, table: fleet.ServerTable, now_ms: int
    ) -> dict[str, str]:
        """Returns the model that each host is loading, by server id."""
        self._started = {
            incarnation_id: started
            for incarnation_id, started in self._started.items()
            if now_ms < started.timeout_at_ms
            and _is_in_progress(incarnation_id, started, table)
        }
        return {
            server_id: started.model_name
            for (server_id, _), started in self._started.items()
        }

    def startup_loads(
        self,
        service: model.ServiceConfig,
        table: fleet.ServerTable,
        groups: Mapping[str, model.Group],
        now_ms: int,
        *,
        expects_more_engines: bool,
    ) -> Iterator[_actions.StageOrder]:
        """Yields loads before requests are served.

        Members of groups load a second model, and engines that no group of
        their fabric domain needs load a first one.

        Args:
            service: An engine service.
            table: Reports of the engines.
            groups: Groups that exist, in any phase.
            now_ms: Monotonic time.
            expects_more_engines: Whether engines are still registering. Free
                engines may then become members of groups, whose model a load
                of another one would only delay.
        """
        engine = _profiles.plannable_engine(service)
        if engine is None:
            return
        loads_in_progress = self.loads_in_progress(table, now_ms)
        if not expects_more_engines:
            inventory = _inventory.inventory_of(service, engine, table, groups)
            for load in _startup_loads.spare_engine_loads(
                inventory, loads_in_progress
            ):
                yield self._start_load(load.report, load.profile, now_ms)
        if len(engine.models) < 2:
            return
        for group in _serving_groups(service, groups):
            others = [m for m in engine.models if m.name != group.model_name]
            for report in _ready_members((group,), table):
                is_staged = others[0].name in report.staged
                if not is_staged and report.server_id not in loads_in_progress:
                    yield self._start_load(report, others[0], now_ms)

    def runtime_loads(
        self,
        service: model.ServiceConfig,
        table: fleet.ServerTable,
        groups: Mapping[str, model.Group],
        now_ms: int,
    ) -> Iterator[_actions.StageOrder]:
        """Yields as many loads as may start while requests are served."""
        engine = _profiles.plannable_engine(service)
        if engine is None:
            return
        loads_in_progress = self.loads_in_progress(table, now_ms)
        if not self._may_start_load(engine, loads_in_progress, now_ms):
            return
        inventory = _inventory.inventory_of(service, engine, table, groups)
        members = _ready_members(_serving_groups(service, groups), table)
        # Pass a copy: loads started below must not affect this plan.
        loads = _runtime_loads.plan_loads(
            inventory, dict(loads_in_progress), members
        )
        for load in loads:
            share = 1.0 if load.is_urgent else SECOND_MODEL_SHARE
            if not self._may_start_load(
                engine, loads_in_progress, now_ms, share
            ):
                return
            self._rate_limiter.record(1, now_ms)
            loads_in_progress[load.report.server_id] = load.profile.name
            yield self._start_load(load.report, load.profile, now_ms)

    def _may_start_load(
        self,
        engine: model.EngineProfile,
        loads_in_progress: Mapping[str, str],
        now_ms: int,
        share: float = 1.0,
    ) -> bool:
        """Returns whether one more load fits into a share of the limits."""
        if len(loads_in_progress) >= int(engine.max_concurrent_loads * share):
            return False
        return (
            self._rate_limiter.available_loads(engine.max_loads_per_s, now_ms)
            > 0
        )

    def _start_load(
        self,
        report: model.ServerReport,
        profile: model.ModelProfile,
        now_ms: int,
    ) -> _actions.StageOrder:
        timeout_at_ms = now_ms + profile.load_ms + LOAD_TIMEOUT_MARGIN_MS
        self._started[report.incarnation_id] = _StartedLoad(
            profile.name, timeout_at_ms
        )
        return _actions.StageOrder(
            _inventory.to_group_member(report), profile.name
        )


def _serving_groups(
    service: model.ServiceConfig, groups: Mapping[str, model.Group]
) -> Iterator[model.Group]:
    for group in groups.values():
        is_own = group.service == service.name
        if is_own and group.phase is model.GroupPhase.SERVING:
            yield group


def _ready_members(
    groups: Iterable[model.Group], table: fleet.ServerTable
) -> Iterator[model.ServerReport]:
    """Yields the reports of members that are ready for new work."""
    for group in groups:
        for member in group.members:
            record = table.get(member.server_id)
            if record is not None and table.is_ready(record):
                yield record.report


def _is_in_progress(
    incarnation_id: tuple[str, int],
    started: _StartedLoad,
    table: fleet.ServerTable,
) -> bool:
    """Returns whether the engine still runs and its host lacks the model."""
    server_id, born_ms = incarnation_id
    record = table.get(model.BackendServerId(server_id))
    if record is None or record.report.born_ms != born_ms:
        return False
    is_staged = started.model_name in record.report.staged
    return not is_staged and not table.is_unreachable(record)
