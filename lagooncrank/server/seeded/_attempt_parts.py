"""Components that the attempts of one entry's requests are made with."""

import dataclasses

from lagooncrank import clock as clocks
from lagooncrank import observed_time
from lagooncrank.core import dispatch
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _crash_guard
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _delegator
from lagooncrank.server.seeded import _entry_metrics
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _reach_monitor
from lagooncrank.server.seeded import _server_limits
from lagooncrank.server.seeded import _slot_queue
from lagooncrank.server.seeded import _stop_gate
from lagooncrank.server.seeded import _target_selector


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptParts:
    """Components that choose, make and record the attempts of requests."""

    target_selector: _target_selector.TargetSelector
    slot_queue: _slot_queue.SlotQueue
    view: _fleet_view.FleetView
    #: Sends requests to backend servers.
    client: _attempt.BackendClient
    retry_budget: dispatch.SharedRetryBudget
    crash_guard: _crash_guard.CrashGuard
    limits: _server_limits.ServerLimits
    reach_monitor: _reach_monitor.ReachMonitor
    #: Sends requests to other entries.
    delegator: _delegator.Delegator
    stop_gate: _stop_gate.StopGate
    metrics: _entry_metrics.EntryMetrics
    clock: clocks.Clock
    observed_clock: observed_time.ObservedClock
    log: _decision_log.DecisionLog
