"""Builds and connects the services of one node."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import socket

import mode

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank import settings
from lagooncrank.core import admission
from lagooncrank.core import membership
from lagooncrank.core import retry
from lagooncrank.core import routing
from lagooncrank.core import state
from lagooncrank.core import timeouts
from lagooncrank.server import _admission_service
from lagooncrank.server import _announcements
from lagooncrank.server import _at_most_once_calls
from lagooncrank.server import _cache_hints
from lagooncrank.server import _call_recorder
from lagooncrank.server import _completion
from lagooncrank.server import _crashes
from lagooncrank.server import _engine_client
from lagooncrank.server import _entries
from lagooncrank.server import _http_server
from lagooncrank.server import _interfaces
from lagooncrank.server import _lifecycle
from lagooncrank.server import _metrics
from lagooncrank.server import _observed_ticks
from lagooncrank.server import _orders
from lagooncrank.server import _placement
from lagooncrank.server import _plain_calls
from lagooncrank.server import _plain_client
from lagooncrank.server import _pools
from lagooncrank.server import _readiness
from lagooncrank.server import _revision_reports
from lagooncrank.server import _stop
from lagooncrank.server import _targets
from lagooncrank.server import _usage
from lagooncrank.server import _watchdog
from lagooncrank.server.http import _app
from lagooncrank.server.http import _cache_events
from lagooncrank.server.http import _completions
from lagooncrank.server.http import _entries as _entry_handlers
from lagooncrank.server.http import _health
from lagooncrank.server.http import _operators
from lagooncrank.server.http import _readiness_gate
from lagooncrank.server.http import _request_ids
from lagooncrank.server.http import _services


@dataclasses.dataclass(frozen=True, slots=True)
class EngineBounds:
    """Bounds of the adaptive timeouts for calls to model engines."""

    first_byte: timeouts.TimeoutBounds = _engine_client.FIRST_BYTE_BOUNDS
    between_bytes: timeouts.TimeoutBounds = _engine_client.BETWEEN_BYTES_BOUNDS


class Daemon(mode.Service):
    """Runs the services of one node and connects them to the core.

    Args:
        process: Settings of the process.
        listener: Socket that listens on the entry's HTTP address.
        shared: The replicated state.
        links: Links to the other nodes.
        clock: Clock of the process.
        incarnation: Number of this start; greater than that of any earlier
            start of the node.
        first_services: Services that implement `shared` and `links`; they
            start before all others and stop after them.
        engine_bounds: Bounds of the adaptive timeouts for model engines.
    """

    def __init__(
        self,
        process: settings.ProcessSettings,
        listener: socket.socket,
        shared: _interfaces.SharedState,
        links: _interfaces.PeerLinks,
        clock: clocks.Clock,
        incarnation: int,
        first_services: Sequence[mode.Service] = (),
        engine_bounds: EngineBounds = EngineBounds(),
    ) -> None:
        super().__init__()
        self._process = process
        self._listener = listener
        self._shared = shared
        self._links = links
        self._clock = clock
        self._observed_clock = observed_time.ObservedClock(clock)
        self._first_services = first_services
        self._incarnation = incarnation
        #: Revision that was last passed to the services of this node.
        self._revision = 0
        self.metrics = _metrics.Metrics()
        self.lifecycle = _lifecycle.Lifecycle(self.metrics)
        self._order_sender = _orders.HttpOrderSender()
        self._build_core()
        self._build_clients(engine_bounds)
        self.placement = _placement.PlacementDriver(
            shared,
            self.table,
            self._order_sender,
            clock,
            process.policies.placement,
        )
        self.revision_exchange = _revision_reports.RevisionExchange(
            process.node_id,
            [node.node_id for node in process.initial_voters],
            shared,
            links,
            clock,
        )
        self.planned_stop = _stop.PlannedStop(
            self.lifecycle,
            self.directory,
            shared,
            process.stop_deadline_ms,
        )
        shared.on_applied(self._on_applied)

    async def on_start(self) -> None:
        """Starts every service, the HTTP server last."""
        self._configure()
        await self._order_sender.open()
        for service in self._services():
            await self.add_runtime_dependency(service)

    async def on_shutdown(self) -> None:
        """Closes resources that the stopped services used."""
        await self._order_sender.close()

    def _services(self) -> Iterator[mode.Service]:
        yield from self._first_services
        yield _observed_ticks.ObservedTicks(self._observed_clock)
        yield self.watchdog
        yield self.pools
        yield self.admission_service
        yield self.targets
        yield self.crash_monitor
        yield self.call_recorder
        yield self.announcements
        yield self.directory
        yield self.usage
        yield self.revision_exchange
        yield self.placement
        yield self._http_server()

    def _build_core(self) -> None:
        policies = self._process.policies
        own_node = self._process.own_node
        self.table = membership.MembershipTable(
            own_node.node_id, self._incarnation, model.LeaseRules()
        )
        policy = admission.ADMISSION_POLICIES.get(
            policies.admission
        ).from_config(
            admission.AdmissionConfig(
                node_id=own_node.node_id,
                incarnation=self._incarnation,
                entries=len(self._process.nodes),
                counters=self.metrics,
            )
        )
        self.admission_service = _admission_service.AdmissionService(
            policy, self._clock
        )
        self.router = routing.ROUTERS.get(policies.router).from_config(
            routing.RouterConfig(
                own_node.node_id,
                own_node.failure_domain_id,
                tuple(node.node_id for node in self._process.nodes),
            )
        )
        config = retry.RetryConfig(counters=self.metrics)
        self.retry_policy = retry.RETRY_POLICIES.get(
            policies.retry
        ).from_config(config)
        self.crash_monitor = _crashes.CrashMonitor(
            retry.SUSPICION_POLICIES.get(policies.suspicion).from_config(
                config
            ),
            self._shared,
            self._clock,
        )

    def _build_clients(self, engine_bounds: EngineBounds) -> None:
        clock = self._clock
        self.watchdog = _watchdog.Watchdog(clock, self._observed_clock)
        self.pools = _pools.ConnectionPools(self._observed_clock)
        self.engine_client = _engine_client.EngineClient(
            self.pools,
            self.watchdog,
            clock,
            self._observed_clock,
            engine_bounds.first_byte,
            engine_bounds.between_bytes,
        )
        self.plain_client = _plain_client.PlainClient(self.pools)
        self.call_recorder = _call_recorder.CallRecorder(
            self._process.node_id, self._incarnation, self._shared, clock
        )
        self.targets = _targets.TargetDirectory(
            self._shared, self.table, self.admission_service, self.router, clock
        )
        self.announcements = _announcements.AnnouncementExchange(
            self.table, self._links, clock
        )
        self.usage = _usage.UsageExchange(
            self.admission_service, self.router, self._links
        )
        self.directory = _entries.EntryDirectory(
            self._process,
            self.lifecycle,
            _readiness.Readiness(self._shared, clock, self._observed_clock),
            self._links,
            clock,
        )

    def _http_server(self) -> _http_server.HttpServer:
        limits = self._process.limits
        ids = _request_ids.RequestIds(self._process.node_id, self._incarnation)
        app = _app.build(self._handlers(ids), limits, ids, self.metrics)
        return _http_server.HttpServer(
            app, self._listener, limits, self.metrics, self._clock
        )

    def _handlers(
        self, ids: _request_ids.RequestIds
    ) -> Iterator[_app.HandlerGroup]:
        limits = self._process.limits
        shared = self._shared
        clock = self._clock
        gate = _readiness_gate.ReadinessGate(
            shared, self.lifecycle, self.directory
        )
        yield _entry_handlers.EntryHandlers(
            self.directory, self.table, shared, limits, clock
        )
        yield _operators.OperatorHandlers(
            self._process,
            shared,
            self._links,
            self.table,
            self.revision_exchange,
            clock,
        )
        yield _cache_events.CacheEventHandlers(
            _cache_hints.CacheHintUpdater(self.router), shared, limits
        )
        yield _health.HealthHandlers(self.lifecycle, shared, self.metrics)
        yield _completions.CompletionHandlers(
            gate, self._completion_context(), limits, ids, self.watchdog
        )
        plain_calls = self._plain_calls()
        at_most_once_calls = _at_most_once_calls.AtMostOnceCallRunner(
            shared,
            clock,
            plain_calls,
            self.plain_client,
            self.call_recorder,
            self._observed_clock,
        )
        yield _services.ServiceHandlers(
            gate, plain_calls, at_most_once_calls, limits, ids, clock
        )

    def _completion_context(self) -> _completion.CompletionContext:
        return _completion.CompletionContext(
            clock=self._clock,
            metrics=self.metrics,
            shared=self._shared,
            admission_service=self.admission_service,
            targets=self.targets,
            router=self.router,
            retry_policy=self.retry_policy,
            crash_monitor=self.crash_monitor,
            client=self.engine_client,
        )

    def _plain_calls(self) -> _plain_calls.RepeatableCallRunner:
        return _plain_calls.RepeatableCallRunner(
            self._clock,
            self.metrics,
            self.targets,
            self.router,
            self.retry_policy,
            self.plain_client,
        )

    def _on_applied(
        self, command: state.Command, outcome: state.Outcome
    ) -> None:
        self._configure()

    def _configure(self) -> None:
        """Passes a new revision to the services that depend on it."""
        record = self._shared.view.configuration
        if record is None or record.revision == self._revision:
            return
        self._revision = record.revision
        declarations = record.declarations
        self.table.configure(declarations.leases)
        self.retry_policy.configure(declarations.retries)
        self.admission_service.configure(declarations)
