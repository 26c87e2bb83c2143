"""Entry: the node that accepts callers' requests."""

import asyncio
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import settings
from lagooncrank.core import dispatch
from lagooncrank.core import drain
from lagooncrank.server import _buffer_budget
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _attempt_parts
from lagooncrank.server.seeded import _caller_connections
from lagooncrank.server.seeded import _caller_departures
from lagooncrank.server.seeded import _caller_server
from lagooncrank.server.seeded import _crash_guard
from lagooncrank.server.seeded import _delegation_server
from lagooncrank.server.seeded import _delegator
from lagooncrank.server.seeded import _entry_metrics
from lagooncrank.server.seeded import _forwarding
from lagooncrank.server.seeded import _node
from lagooncrank.server.seeded import _reach_monitor
from lagooncrank.server.seeded import _response_cuts
from lagooncrank.server.seeded import _response_relay
from lagooncrank.server.seeded import _slot_queue
from lagooncrank.server.seeded import _step_guard
from lagooncrank.server.seeded import _stop_gate
from lagooncrank.server.seeded import _target_selector

#: Time for which callers may cache a list of addresses.
ADDRESS_TTL_MS: Final = 2_000
READINESS_POLL_S: Final = 0.1


class EntryNode(_node.Node):
    """One entry and its HTTP server for callers."""

    def __init__(
        self,
        node_settings: settings.SeededSettings,
        http_codec: _adapter.HttpCodec,
        document_codec: _adapter.DocumentCodec,
        clock: clocks.Clock,
    ) -> None:
        super().__init__(node_settings, document_codec, clock)
        self.metrics = _entry_metrics.EntryMetrics()
        #: Bodies of responses that are read, or written to callers.
        self.response_bodies = _buffer_budget.BufferBudget.of_memory(
            node_settings.memory_limit_mb
        )
        self.server_limits.count_permits = self.metrics.permits.count
        self._client = _attempt.BackendClient(
            http_codec, self.observed_clock, node_settings.source_ip
        )
        target_selector = _target_selector.TargetSelector(
            node_settings.failure_domain_id,
            self.shared,
            self.view,
            self.documents,
            self.server_limits,
            clock,
        )
        retry_budget = dispatch.SharedRetryBudget(
            node_settings.retry,
            clock.now_ms(),
            is_first_start=node_settings.is_first_start,
        )
        reach_monitor = _reach_monitor.ReachMonitor(
            self.view,
            self._client,
            self.documents,
            self.metrics.reach,
            clock,
            self.observed_clock,
            self.decision_log,
        )
        self._reach_monitor = reach_monitor
        #: Has connections of its own: those to servers are closed while this
        #: entry has no path to them.
        self._entry_client = _attempt.BackendClient(
            http_codec, self.observed_clock
        )
        delegator = _delegator.Delegator(
            node_settings,
            self._entry_client,
            self.view,
            reach_monitor.detector,
            self.metrics.reach,
            clock,
            self.decision_log,
        )
        self._stop_gate = _stop_gate.StopGate(self.view, clock)
        parts = _attempt_parts.AttemptParts(
            target_selector,
            _slot_queue.SlotQueue(
                target_selector, self.view, self.metrics, clock
            ),
            self.view,
            self._client,
            retry_budget,
            _crash_guard.CrashGuard(self.crash_evidence, self.view, clock),
            self.server_limits,
            reach_monitor,
            delegator,
            self._stop_gate,
            self.metrics,
            clock,
            self.observed_clock,
            self.decision_log,
        )
        self._forwarder = _forwarding.Forwarder(parts)
        departures = _caller_departures.CallerDepartures(
            self.loop_watch, self.metrics, clock, self.decision_log
        )
        cuts = _response_cuts.ResponseCuts(
            self.metrics, clock, self.decision_log
        )
        response_relay = _response_relay.ResponseRelay(
            self._forwarder,
            self._stop_gate,
            departures,
            cuts,
            self.metrics,
            self.response_bodies,
            clock,
            self.decision_log,
        )
        self._caller_connections = _caller_connections.CallerConnections(
            self.view
        )
        self._caller_server = _caller_server.CallerServer(
            node_settings,
            http_codec,
            self.documents,
            self._caller_connections,
            target_selector,
            retry_budget,
            response_relay,
            self._stop_gate,
            departures,
            cuts,
            self.metrics,
            clock,
            self.decision_log,
        )
        self._delegation_server = _delegation_server.DelegationServer(
            node_settings,
            self._caller_server,
            self._caller_connections,
            self.documents,
            reach_monitor.detector,
            self._stop_gate,
            self.metrics.reach,
            clock,
            self.decision_log,
        )
        self._is_stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether callers may be directed to this entry."""
        return self.documents.catalog is not None and not self._is_stopping

    async def on_start(self) -> None:
        """Starts the components and listens for callers."""
        await super().on_start()
        await self._client.start()
        await self._entry_client.start()
        await self.add_runtime_dependency(self._reach_monitor)
        await self._caller_server.start()
        await self._delegation_server.start()
        self.add_future(self._publish_readiness())

    async def on_stop(self) -> None:
        """Closes the connections to callers and to backend servers."""
        await self._caller_connections.stop()
        await self._client.stop()
        await self._entry_client.stop()

    async def prepare_stop(self) -> None:
        """Withdraws from the directory, then drains the requests in flight.

        Callers with a cached address are served on, as long as their requests
        must end before the cut. After a crash of a component no new ones are
        accepted.
        """
        grace_ms = self.settings.timing.stop_grace_ms
        plan = drain.StopPlan.from_grace(self.clock.now_ms(), grace_ms)
        self._is_stopping = True
        self.view.is_open = False
        self.view.publish_notice()
        self._caller_connections.is_closing = True
        self._stop_gate.begin(plan)
        self.decision_log.write(decisions.Event.STOPPING, grace_ms=grace_ms)
        if not self.crashed:
            await asyncio.sleep(self._seconds_until(plan.serves_all_until_ms))
        self._caller_connections.stop_accepting()
        await self._caller_connections.drain(self._seconds_until(plan.cut_ms))
        # Nothing may arrive on open connections while the rest stops.
        await self._caller_connections.stop(self._seconds_until(plan.cut_ms))

    def _seconds_until(self, time_ms: int) -> float:
        return max(time_ms - self.clock.now_ms(), 0) / clocks.MS_PER_S

    async def _publish_readiness(self) -> None:
        guard = _step_guard.StepGuard(self.decision_log)
        while not self.should_stop:
            guard.run("readiness", self._publish_changed_readiness)
            await self.sleep(READINESS_POLL_S)

    def _publish_changed_readiness(self) -> None:
        is_open = self.is_ready
        if is_open is not self.view.is_open:
            self.view.is_open = is_open
            self.view.publish_notice()
