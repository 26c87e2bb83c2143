"""Probes the members of groups that make no progress."""

from collections.abc import Callable
from typing import Final

from lagooncrank import decisions
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank.server import _observed_timer
from lagooncrank.server import _shared_state
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _group_actions

#: Minimum time between two probes of the members of a stalled group.
PROBE_INTERVAL_MS: Final = 1_000
#: Observed time in which an engine must respond. It does within milliseconds;
#: the retransmission of a lost packet takes some 200 ms.
PROBE_TIMEOUT_MS: Final = 500


class StallProbes:
    """Probes members of stalled groups, and records those that are silent.

    Args:
        shared: Replicated state.
        view: What this node knows of servers and other nodes.
        engines: Client for probes.
        observed_clock: Time in which this node could notice a response.
        log: Receives a line for each member that is silent.
        spawn: Starts tasks.
        on_change: Called once a member was found to be silent.
    """

    def __init__(
        self,
        shared: _shared_state.ReplicatedState,
        view: _fleet_view.FleetView,
        engines: _adapter.EngineClient,
        observed_clock: observed_time.ObservedClock,
        log: _decision_log.DecisionLog,
        spawn: _group_actions.Spawn,
        on_change: Callable[[], None],
    ) -> None:
        self._shared = shared
        self._view = view
        self._engines = engines
        self._observed_clock = observed_clock
        self._log = log
        self._spawn = spawn
        self._on_change = on_change
        #: Time of the last probe of a group's members, by epoch.
        self._probed_ms: dict[int, int] = {}

    def start_due(self, now_ms: int) -> None:
        """Starts to probe the members of groups that may have stalled."""
        current_groups = self._shared.view.groups
        epochs = {group.epoch for group in current_groups.values()}
        self._probed_ms = {
            epoch: probed_ms
            for epoch, probed_ms in self._probed_ms.items()
            if epoch in epochs
        }
        nodes = self._view.nodes
        observed_ms = self._observed_clock.now_ms()
        stalled = nodes.stalled(observed_ms) | nodes.suspected(observed_ms)
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
                    self._spawn("probe", self.probe(group, member))

    async def probe(
        self, group: model.Group, member: model.GroupMember
    ) -> None:
        """Records a member that does not answer as unreachable."""
        if await self._is_alive(member):
            return
        self._view.table.mark_unreachable(member.server_id, member.born_ms)
        self._log.write(
            decisions.Event.SERVER,
            server=member.server_id,
            state="no answer to a probe",
            group=group.name,
        )
        self._on_change()

    async def _is_alive(self, member: model.GroupMember) -> bool:
        try:
            async with _observed_timer.timeout(
                self._observed_clock, PROBE_TIMEOUT_MS
            ):
                return await self._engines.is_alive(member)
        except TimeoutError:
            # The caller logs the failed probe.
            return False
