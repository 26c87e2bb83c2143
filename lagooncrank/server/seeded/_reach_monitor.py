"""Observes an entry's connections to backend servers, and probes services."""

import asyncio
from collections.abc import Callable
from collections.abc import Hashable
import random
from typing import Final

import mode

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank.core import reach
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _documents
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _health_probes
from lagooncrank.server.seeded import _live_servers
from lagooncrank.server.seeded import _reach_metrics
from lagooncrank.server.seeded import _step_guard

CHECK_INTERVAL_S: Final = 0.05


class ReachMonitor(mode.Service):  # type: ignore[misc, unused-ignore]
    """Feeds the reach detector and publishes what it decides."""

    def __init__(
        self,
        view: _fleet_view.FleetView,
        client: _attempt.BackendClient,
        documents: _documents.DocumentStore,
        metrics: _reach_metrics.ReachMetrics,
        clock: clocks.Clock,
        observed_clock: observed_time.ObservedClock,
        log: _decision_log.DecisionLog,
    ) -> None:
        super().__init__()
        self._view = view
        self._client = client
        self._metrics = metrics
        self._clock = clock
        self._observed_clock = observed_clock
        self._log = log
        self._guard = _step_guard.StepGuard(log)
        self.detector = reach.ReachDetector()
        self.silence = reach.SilenceWatch(observed_clock.now_ms())
        self._signs = reach.LifeSigns()
        self._health_probes = self._new_probes(documents, metrics.count_probe)
        #: Servers that read what they are sent.
        self.live_servers = _live_servers.LiveServers(
            self._signs,
            self._new_probes(documents, metrics.count_life_probe),
            observed_clock,
            self._guard,
        )
        #: Called with the servers of services that became unreached while no
        #: server was heard.
        self.silence_listeners: list[Callable[[frozenset[str]], None]] = []
        #: Called with a server that has just sent something.
        self.sign_listeners: list[Callable[[str], None]] = []
        self._probes: set[asyncio.Task[None]] = set()
        self.detector.listeners.append(self._on_change)

    def _new_probes(
        self, documents: _documents.DocumentStore, count: Callable[[str], None]
    ) -> _health_probes.HealthProbes:
        return _health_probes.HealthProbes(
            self._client, documents, self._record_response_sign, count
        )

    def observe(self, server_id: str) -> "ConnectionObserver":
        """Returns an observer of one attempt at a server."""
        return ConnectionObserver(self.silence, server_id)

    def record_response(
        self, service: model.ServiceName, observer: "ConnectionObserver"
    ) -> None:
        """Records that the head of a response arrived."""
        observer.end()
        self._record_response_sign(observer.server_id)
        if observer.is_new_connection:
            self.detector.record_connected(service, self._clock.now_ms())

    def record_event(self, request: Hashable, server_id: str) -> None:
        """Records an event of a stream.

        Args:
            request: Identifies the stream.
            server_id: Server that it comes from.
        """
        self.silence.record_heard((request, server_id))
        self._record_sign(server_id)

    def _record_response_sign(self, server_id: str) -> None:
        self.silence.record_heard()
        self._record_sign(server_id)

    def _record_sign(self, server_id: str) -> None:
        self._signs.record(server_id, self._observed_clock.now_ms())
        for listener in self.sign_listeners:
            listener(server_id)

    def record_failure(
        self,
        service: model.ServiceName,
        observer: "ConnectionObserver",
        error: _attempt.AttemptFailedError,
    ) -> None:
        """Records that an attempt failed before the head of a response."""
        observer.end()
        if error.head is not None:
            self.record_response(service, observer)
            return
        is_silent = (
            error.failure is _attempt.FailureKind.TIMED_OUT
            and self.silence.heard_ago_ms >= reach.SILENCE_MS
        )
        is_refused = error.failure is _attempt.FailureKind.CONNECT
        if is_silent or is_refused or error.is_disconnect:
            self.detector.record_failed(
                service,
                observer.server_id,
                len(list(self._view.table.ready(service))),
                self._clock.now_ms(),
            )

    async def on_stop(self) -> None:
        """Ends the probes."""
        for probe in self._probes:
            probe.cancel()
        await asyncio.gather(*self._probes, return_exceptions=True)
        await self.live_servers.stop()

    @mode.Service.timer(CHECK_INTERVAL_S)  # type: ignore[misc, unused-ignore]
    async def _check_periodically(self) -> None:
        self._guard.run("reach", self.check)

    def check(self) -> None:
        """Decides which services are reached, and starts the due probes."""
        now_ms = self._clock.now_ms()
        self.silence.advance(self._observed_clock.now_ms())
        if self.silence.is_silent():
            self._assume_all_unreached(now_ms)
        for service in self.detector.take_due_probes(now_ms):
            probe = asyncio.create_task(
                self._guard.watch("health probe", self._probe(service))
            )
            self._probes.add(probe)
            probe.add_done_callback(self._probes.discard)

    def _assume_all_unreached(self, now_ms: int) -> None:
        for service in self._view.table.ready_services():
            self.detector.assume_unreached(service, now_ms)

    async def _probe(self, service: model.ServiceName) -> None:
        """Sends a health check to a random server of a service."""
        servers = [r.report for r in self._view.table.ready(service)]
        untested = [
            s
            for s in servers
            if not self.detector.has_failed(service, s.server_id)
        ]
        if not servers:
            # Nothing can be said about a service without servers.
            self.detector.record_connected(service, self._clock.now_ms())
            return
        server = random.choice(untested or servers)
        outcome = await self._health_probes.probe(
            service, server.server_id, server.address
        )
        now_ms = self._clock.now_ms()
        if outcome is _attempt.ProbeOutcome.RESPONSE:
            self.detector.record_connected(service, now_ms)
        elif (
            outcome is _attempt.ProbeOutcome.FAILURE
            or self.silence.heard_ago_ms >= _health_probes.PROBE_TIMEOUT_MS
        ):
            # A timeout while servers are heard may only mean that this one is
            # busy.
            self.detector.record_probe_failed(service, server.server_id, now_ms)

    def _on_change(self, change: reach.ServiceChange) -> None:
        self._log.write(
            decisions.Event.SERVICE_REACHED
            if change.is_reached
            else decisions.Event.SERVICE_UNREACHED,
            service=change.service,
            servers=change.failed_servers,
            heard_ago_ms=self.silence.heard_ago_ms,
        )
        self._metrics.count_change(is_reached=change.is_reached)
        # Idle connections from before the change may be dead.
        self._client.close_idle_connections()
        if not change.is_reached:
            self._on_unreached(change.service)
        self._view.publish_reach(self.detector.confirmed_unreached())

    def _on_unreached(self, service: model.ServiceName) -> None:
        # The other services may be unreached as well; probes find out before
        # requests do.
        self._assume_all_unreached(self._clock.now_ms())
        if self.silence.heard_ago_ms < reach.SILENCE_MS:
            return
        servers = frozenset(
            r.report.server_id for r in self._view.table.ready(service)
        )
        for listener in self.silence_listeners:
            listener(servers)


class ConnectionObserver:
    """Observes the connection of one attempt."""

    def __init__(self, silence: reach.SilenceWatch, server_id: str) -> None:
        self._silence = silence
        self.server_id = server_id
        #: Whether the attempt opened a connection of its own.
        self.is_new_connection = False

    def on_connecting(self) -> None:
        """Called when a connection is being opened."""
        self._silence.begin(id(self), self.server_id)

    def on_connected(self) -> None:
        """Called when the connection is open."""
        self.is_new_connection = True
        self.end()

    def end(self) -> None:
        """Ends the observation."""
        self._silence.end(id(self))
