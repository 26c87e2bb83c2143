"""A daemon with simulated engines and a plain service in one event loop."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import hashlib
from typing import Any

import aiohttp
import mode
import yarl

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import settings
from lagooncrank.core import state
from lagooncrank.core import timeouts
from lagooncrank.server import _daemon
from lagooncrank.server import _sockets
from lagooncrank.server import _targets
from lagooncrank.server.tests import single_node
from lagooncrank.server.tests import stream_servers
from standins import _announcer
from standins import _process
from standins import engine
from standins import plain_service

KEY = "key-of-a"
HEADERS = {"Authorization": f"Bearer {KEY}"}
MODEL = "draft"
BOOKING = "booking"
STATUS = "status"
REPLICAS = 2
#: Limits the wait for a condition that never holds; no test measures it.
WAIT_TIMEOUT_S = 20.0
#: Timeout bounds that are small enough for tests to reach them.
SHORT_BOUNDS = timeouts.TimeoutBounds(
    initial_ms=300, floor_ms=300, ceiling_ms=600
)

DECLARATIONS = model.Declarations(
    model_services=(
        model.ModelService(
            name=model.ServiceName(MODEL),
            version="v1",
            replicas=REPLICAS,
            replicas_floor=1,
            instances_per_replica=2,
        ),
    ),
    plain_services=(
        model.PlainService(model.ServiceName(BOOKING), repeatable=False),
        model.PlainService(model.ServiceName(STATUS), repeatable=True),
    ),
    client_accounts=(
        model.ClientAccount(
            name=model.ClientAccountId("a"),
            key_sha256s=(hashlib.sha256(KEY.encode()).hexdigest(),),
            share=1,
            first_token_target_ms=10_000,
        ),
    ),
    leases=model.LeaseRules(announcement_ms=60_000, entries_keep_for_ms=0),
)


@dataclasses.dataclass(slots=True)
class DaemonHarness:
    """A running daemon and the backend servers that it uses."""

    address: str
    daemon: _daemon.Daemon
    shared: single_node.SingleNodeState
    #: Engines by replica; the first member of each replica comes first.
    engines: list[engine.Engine]
    session: aiohttp.ClientSession
    #: Closes the listening socket and connections of an engine, by index.
    engine_closers: list[_process.Closer]
    services: list[mode.Service]
    closers: list[_process.Closer]
    #: Connections that tests opened.
    connections: stream_servers.OpenConnections = dataclasses.field(
        default_factory=stream_servers.OpenConnections
    )
    #: Plain service that was started last.
    booking: plain_service.PlainServiceStandIn = dataclasses.field(init=False)

    @classmethod
    async def start(
        cls,
        limits: settings.LimitSettings = settings.LimitSettings(),  # noqa: B008
        engine_options: Mapping[str, Any] | None = None,
        declarations: model.Declarations = DECLARATIONS,
    ) -> "DaemonHarness":
        """Starts everything and waits until every replica is serving."""
        listener = _sockets.listener(f"{_process.LOOPBACK}:0")
        address = _sockets.bound_address(listener)
        shared = single_node.SingleNodeState()
        daemon = _daemon.Daemon(
            _process_settings(address, limits),
            listener,
            shared,
            single_node.NoPeers(),
            clocks.SystemClock(),
            incarnation=1,
            engine_bounds=_daemon.EngineBounds(SHORT_BOUNDS, SHORT_BOUNDS),
        )
        await daemon.start()
        harness = cls(
            address=address,
            daemon=daemon,
            shared=shared,
            engines=[],
            session=aiohttp.ClientSession(),
            engine_closers=[],
            services=[],
            closers=[],
        )
        await harness.apply(declarations)
        await harness._start_engines(engine_options or {})
        await harness.start_booking("b0")
        return harness

    async def stop(self) -> None:
        """Stops everything."""
        await self.session.close()
        await self.connections.close()
        for service in self.services:
            await service.stop()
        await self.daemon.stop()
        for close in (*self.engine_closers, *self.closers):
            await close()

    async def apply(self, declarations: model.Declarations) -> None:
        """Puts declarations in force."""
        record = self.shared.view.configuration
        revision = record.revision if record else 0
        command = state.ApplyDeclarations(
            f"c{revision}", revision, declarations, "test", 0
        )
        outcome = await self.shared.propose(command, 1_000)
        assert outcome.ok, outcome.reason

    def url(self, path: str) -> str:
        """Returns the URL of a path at the entry."""
        return f"http://{self.address}{path}"

    def complete(
        self, **fields: Any
    ) -> "aiohttp.client._RequestContextManager":
        """Sends a completion request."""
        body = {"model": MODEL, "prompt": "hello", "max_tokens": 20} | fields
        return self.session.post(
            self.url("/v1/completions"), json=body, headers=HEADERS
        )

    async def announce_all(self) -> None:
        """Makes every backend server announce its current state."""
        for service in self.services:
            assert isinstance(service, _announcer.Announcer)
            await service.announce()
        await asyncio.sleep(_targets.CACHE_LIFETIME_MS / 1_000)
        self.daemon.targets.refresh_capacity()

    async def open_connection(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a TCP connection to the entry, which ends with the harness."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.connections.add(writer)
        return reader, writer

    async def counter_value(self, name: str, reason: str) -> float:
        """Returns the value of a daemon's counter, by its `reason` label."""
        for family in self.daemon.metrics.registry.collect():
            for sample in family.samples:
                labels = sample.labels
                if sample.name == name and labels.get("reason") == reason:
                    return sample.value
        raise KeyError(name, reason)

    async def _start_engines(self, options: Mapping[str, Any]) -> None:
        for index in range(2 * REPLICAS):
            new_engine = engine.Engine(
                engine.EngineOptions(
                    backend_server_id=f"e{index}",
                    instance_id=f"i{index}",
                    failure_domain_id="d1",
                    fabric_domain_id=f"f{index // 2}",
                    load_ms=1,
                    **options,
                )
            )
            listener = _process.bind_loopback(0)
            new_engine.address = _process.bound_address(listener)
            close = await _process.serve(new_engine.app(), listener)
            self.engine_closers.append(close)
            self.engines.append(new_engine)
            await self._announce(new_engine.announcement)
        await self._wait_for_replicas()

    async def start_booking(self, name: str) -> None:
        """Starts a plain service and sets `booking` to it."""
        self.booking = plain_service.PlainServiceStandIn(
            name, f"i{name}", "d1", (BOOKING, STATUS)
        )
        listener = _process.bind_loopback(0)
        self.booking.address = _process.bound_address(listener)
        app = self.booking.app()
        self.closers.append(await _process.serve(app, listener))
        await self._announce(self.booking.announcement)
        await self.announce_all()

    async def _announce(
        self, make_announcement: _announcer.AnnouncementMaker
    ) -> None:
        announcer = _announcer.Announcer(
            (self.address,), make_announcement, 0.02
        )
        await announcer.start()
        await announcer.announce()
        self.services.append(announcer)

    async def _wait_for_replicas(self) -> None:
        service = DECLARATIONS.model_services[0]
        while len(self.daemon.targets.model_targets(service)) < REPLICAS:
            await self.daemon.placement.step()
            await self.services[0].sleep(0.02)
        self.daemon.targets.refresh_capacity()


def encoded(url: str) -> yarl.URL:
    """Returns a URL that is sent exactly as written."""
    return yarl.URL(url, encoded=True)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds.

    Raises:
        TimeoutError: The condition did not hold in time.
    """
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            if condition():
                return
            await asyncio.sleep(0.005)


def _process_settings(
    address: str, limits: settings.LimitSettings
) -> settings.ProcessSettings:
    node = settings.PeerSettings(
        node_id=model.NodeId("n1"),
        peer_address="127.0.0.1:1",
        entry_address=address,
        failure_domain_id=model.FailureDomainId("d1"),
        roles=(settings.Role.ENTRY, settings.Role.CONTROL),
    )
    return settings.ProcessSettings(
        node_id=node.node_id,
        nodes=(node,),
        shared_key_file="",
        limits=limits,
        stop_deadline_ms=5_000,
    )
