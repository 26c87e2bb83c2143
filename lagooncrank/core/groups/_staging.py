"""Which hosts load which models ahead of need.

Before callers are served, loads are short and free: every host then keeps a
model other than the one that its engine serves, so that engines of one fabric
domain can change over within seconds. Later only engines without any weights
get a load, that of the model that lacks most.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from typing import Final

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core.groups import _actions
from lagooncrank.core.groups import _loads
from lagooncrank.core.groups import _planning

#: Added to the time of a load before it counts as failed.
LOAD_MARGIN_MS: Final = 8_000


class Staging:
    """Follows the loads that this leader has begun."""

    def __init__(self, window_ms: int) -> None:
        self._pace = _loads.LoadPace(window_ms)
        #: When the load of an engine's start counts as failed.
        self._until_ms: dict[tuple[str, int], int] = {}

    def under_way(self, table: fleet.ServerTable, now_ms: int) -> set[str]:
        """Returns the engines whose hosts load."""
        return {
            server_id
            for (server_id, born_ms), until_ms in self._until_ms.items()
            if now_ms < until_ms and _is_without(server_id, born_ms, table)
        }

    def early(
        self,
        service: model.ServicePlan,
        table: fleet.ServerTable,
        groups: Mapping[str, model.Group],
        now_ms: int,
    ) -> Iterator[_actions.Stage]:
        """Yields loads of a second model, before callers are served."""
        engine = service.engine
        if engine is None or len(engine.models) < 2:
            return
        for group in groups.values():
            serves = group.phase is model.GroupPhase.SERVING
            if not serves or group.service != service.name:
                continue
            others = [m for m in engine.models if m.name != group.model_name]
            for member in group.members:
                known = table.get(member.server_id)
                if known is None or others[0].name in known.report.staged:
                    continue
                yield from self._begin(known.report, others[0], now_ms)

    def late(
        self,
        service: model.ServicePlan,
        table: fleet.ServerTable,
        groups: Mapping[str, model.Group],
        now_ms: int,
    ) -> Iterator[_actions.Stage]:
        """Yields loads for engines that can join no group without one."""
        engine = service.engine
        if engine is None:
            return
        free = _planning.free_of(service, table, groups)
        under_way = self.under_way(table, now_ms)
        have = {m.name: 0 for m in engine.models}
        for group in groups.values():
            if group.service == service.name:
                have[group.model_name] = have.get(group.model_name, 0) + 1
        wanted = _planning.wanted_groups(
            engine, sum(1 for _ in table.ready(service.name))
        )
        neediest = min(
            engine.models, key=lambda m: have[m.name] / wanted[m.name]
        )
        for report in free:
            if report.staged or report.loaded:
                continue
            if len(under_way) >= engine.max_concurrent_loads:
                return
            if not self._pace.room(engine.loads_per_s, now_ms):
                return
            for stage in self._begin(report, neediest, now_ms):
                self._pace.note(1, now_ms)
                under_way.add(report.server_id)
                yield stage

    def _begin(
        self,
        report: model.ServerReport,
        profile: model.ModelProfile,
        now_ms: int,
    ) -> Iterator[_actions.Stage]:
        until_ms = self._until_ms.get(report.start)
        if until_ms is not None and now_ms < until_ms:
            return
        self._until_ms[report.start] = now_ms + profile.load_ms + LOAD_MARGIN_MS
        member = _planning.member_of(report)
        yield _actions.Stage(member, profile.name)


def _is_without(server_id: str, born_ms: int, table: fleet.ServerTable) -> bool:
    """Whether an engine's start lives and its host keeps no weights yet."""
    known = table.get(model.BackendServerId(server_id))
    if known is None or known.report.born_ms != born_ms:
        return False
    return not known.report.staged and not table.is_lost(known)
