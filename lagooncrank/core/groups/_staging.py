"""Which hosts load which models ahead of need.

Before callers are served, loads are short and free: every host then keeps a
model other than the one that its engine serves, so that engines of one fabric
domain can change over within seconds. Later loads are few and long.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import Final

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core.groups import _actions
from lagooncrank.core.groups import _late_loads
from lagooncrank.core.groups import _loads
from lagooncrank.core.groups import _supply

#: Added to the time of a load before it counts as failed.
LOAD_MARGIN_MS: Final = 8_000
#: Part of the concurrent loads for what no idle engine waits for.
SECOND_MODEL_PART: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Begun:
    """A load that this leader has ordered."""

    model_name: str
    #: When it counts as failed.
    until_ms: int


class StagingPlanner:
    """Follows the loads that this leader has begun."""

    def __init__(self, window_ms: int) -> None:
        self._pace = _loads.LoadRateLimiter(window_ms)
        #: Newest load of each engine's start.
        self._begun: dict[tuple[str, int], _Begun] = {}

    def under_way(
        self, table: fleet.ServerTable, now_ms: int
    ) -> dict[str, str]:
        """Returns the model that each host loads now, by engine."""
        self._begun = {
            start: begun
            for start, begun in self._begun.items()
            if now_ms < begun.until_ms and _lacks(start, begun, table)
        }
        return {
            server_id: begun.model_name
            for (server_id, _), begun in self._begun.items()
        }

    def startup_loads(
        self,
        service: model.ServicePlan,
        table: fleet.ServerTable,
        groups: Mapping[str, model.Group],
        now_ms: int,
    ) -> Iterator[_actions.StageOrder]:
        """Yields loads of a second model, before callers are served."""
        engine = service.engine
        if engine is None or len(engine.models) < 2:
            return
        under_way = self.under_way(table, now_ms)
        for group in _serving(service, groups):
            others = [m for m in engine.models if m.name != group.model_name]
            for report in _members((group,), table):
                is_kept = others[0].name in report.staged
                if not is_kept and report.server_id not in under_way:
                    yield self._begin(report, others[0], now_ms)

    def runtime_loads(
        self,
        service: model.ServicePlan,
        table: fleet.ServerTable,
        groups: Mapping[str, model.Group],
        now_ms: int,
    ) -> Iterator[_actions.StageOrder]:
        """Yields loads while callers are served, as many as may begin."""
        engine = service.engine
        if engine is None:
            return
        under_way = self.under_way(table, now_ms)
        if not self._has_room(engine, under_way, now_ms):
            return
        supply = _supply.supply_of(service, engine, table, groups)
        members = _members(_serving(service, groups), table)
        # A copy, as what is begun here is not under way for this round.
        loads = _late_loads.wanted_loads(supply, dict(under_way), members)
        for load in loads:
            part = 1.0 if load.is_urgent else SECOND_MODEL_PART
            if not self._has_room(engine, under_way, now_ms, part):
                return
            self._pace.note(1, now_ms)
            under_way[load.report.server_id] = load.profile.name
            yield self._begin(load.report, load.profile, now_ms)

    def _has_room(
        self,
        engine: model.EngineProfile,
        under_way: Mapping[str, str],
        now_ms: int,
        part: float = 1.0,
    ) -> bool:
        """Whether one more load may begin within a part of the limit."""
        if len(under_way) >= int(engine.max_concurrent_loads * part):
            return False
        return self._pace.room(engine.loads_per_s, now_ms) > 0

    def _begin(
        self,
        report: model.ServerReport,
        profile: model.ModelProfile,
        now_ms: int,
    ) -> _actions.StageOrder:
        until_ms = now_ms + profile.load_ms + LOAD_MARGIN_MS
        self._begun[report.start] = _Begun(profile.name, until_ms)
        return _actions.StageOrder(_supply.member_of(report), profile.name)


def _serving(
    service: model.ServicePlan, groups: Mapping[str, model.Group]
) -> Iterator[model.Group]:
    for group in groups.values():
        is_own = group.service == service.name
        if is_own and group.phase is model.GroupPhase.SERVING:
            yield group


def _members(
    groups: Iterable[model.Group], table: fleet.ServerTable
) -> Iterator[model.ServerReport]:
    """Yields the reports of members that may be given work."""
    for group in groups:
        for member in group.members:
            known = table.get(member.server_id)
            if known is not None and table.is_ready(known):
                yield known.report


def _lacks(
    start: tuple[str, int], begun: _Begun, table: fleet.ServerTable
) -> bool:
    """Whether an engine's start lives and its host lacks the model."""
    server_id, born_ms = start
    known = table.get(model.BackendServerId(server_id))
    if known is None or known.report.born_ms != born_ms:
        return False
    is_kept = begun.model_name in known.report.staged
    return not is_kept and not table.is_unreachable(known)
