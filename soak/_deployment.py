"""The processes, servers and clients of one seed's run."""

import asyncio
import contextlib
import pathlib
import random
from typing import Final

from soak import _budget
from soak import _builds
from soak import _callers
from soak import _checks
from soak import _cuts
from soak import _disk_loss_lock
from soak import _disturbances
from soak import _kept_callers
from soak import _lag
from soak import _leaving_callers
from soak import _nodes
from soak import _operator
from soak import _prober
from soak import _proxy
from soak import _servers
from standins import ports

DEFAULT_CONTROLS: Final = 3
#: Shortest and longest time for which servers do nothing at all.
HUSH_S: Final = (0.9, 1.3)
CALLER_COUNT: Final = 8
#: All callers run in this process, which has one processor.
LEAVING_CALLERS: Final = 4
MAX_CALLERS_OF_KIND: Final = 6
OPERATOR_COUNT: Final = 2
#: Longest pause between two probes of an entry.
PROBE_PAUSE_S: Final = 0.4
#: Third byte of the loopback addresses, so that deployments of different
#: seeds can run side by side.
THIRD_BYTES: Final = range(1, 250)


class Deployment:
    """Nodes, backend servers, callers and an operator.

    Args:
        folder: Folder for the nodes' data, settings and logs.
        seed: Seed of the callers' and the operator's random choices; it also
            selects the loopback addresses.
        entries: Number of entries.
        engines: Number of engines.
        production: Build that all nodes start on; the one at hand if None.
        budget: Repeats that the operator allows.
        controls: Number of control nodes.
        hush_s: Shortest and longest time for which servers do nothing.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        entries: int,
        engines: int,
        production: _builds.Build | None = None,
        budget: _budget.BudgetRules = _budget.BINDING_RULES,
        controls: int = DEFAULT_CONTROLS,
        hush_s: tuple[float, float] = HUSH_S,
    ) -> None:
        self.hush_s = hush_s
        self.random = random.Random(seed)
        #: Build at hand, to which upgrades lead.
        self.current_build = _builds.Build.current()
        #: Build that all nodes start on.
        self.production_build = production or self.current_build
        network = f"127.1.{THIRD_BYTES[seed % len(THIRD_BYTES)]}"
        ips = [f"{network}.{n}" for n in range(1, controls + entries + 1)]
        self.disturbances = _disturbances.Disturbances(ips[:controls])
        self.checks = _checks.Checks(
            self.disturbances,
            _checks.Bounds.usual(budget),
            lambda: asyncio.get_running_loop().time(),
        )
        self.history = self.checks.history
        peer_port, delegation_port = ports.free_ports(2)
        shared = _nodes.SharedSettings(
            folder,
            peer_port,
            delegation_port,
            tuple(f"{ip}:1" for ip in ips[:controls]),
            self.checks,
        )
        self.controls = [
            _nodes.Node(shared, ip, "control", self.production_build)
            for ip in ips[:controls]
        ]
        self.entries = [
            _nodes.Node(shared, ip, "entry", self.production_build)
            for ip in ips[controls:]
        ]
        self.servers: dict[str, _servers.CheckingServer] = {}
        self._server_proxies: dict[str, _proxy.Proxy] = {}
        self._engines = engines
        self._started_servers = 0
        #: Time at which the start began, on the event loop's clock.
        self.started_s = 0.0
        self.lag = _lag.LagWatch(self.disturbances, ips[0])
        self.disk_loss_lock = _disk_loss_lock.DiskLossLock()
        self.cuts = _cuts.EntryCuts(
            self._server_proxies,
            [e.ip for e in self.entries],
            self.disturbances,
        )
        self.callers = _callers.Callers(
            self.entries, self.checks, self.random, self.cuts
        )
        self._leaving_callers = _leaving_callers.LeavingCallers(
            self.entries, self.checks, self.random
        )
        self.operator = _operator.Operator(
            self.controls, self.checks, self.random
        )
        self._prober = _prober.Prober(
            self.checks, self.servers, self.random, PROBE_PAUSE_S
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._operator_tasks: list[asyncio.Task[None]] = []

    @property
    def nodes(self) -> list[_nodes.Node]:
        """Control nodes and entries."""
        return [*self.controls, *self.entries]

    @property
    def proxies(self) -> list[_proxy.Proxy]:
        """Proxies of all nodes and backend servers."""
        node_proxies = [p for n in self.nodes for p in n.proxies]
        return [*node_proxies, *self._server_proxies.values()]

    async def start(self, callers: int = CALLER_COUNT) -> None:
        """Starts everything.

        Callers and the operator start before the system serves requests.

        Args:
            callers: Number of callers.
        """
        self.started_s = asyncio.get_running_loop().time()
        await asyncio.gather(*(node.start() for node in self.nodes))
        for _ in range(self._engines):
            await self.add_server("writers", "d1")
        for _ in range(2):
            await self.add_server("desk", "")
            await self.add_server("annex", "")
        clients = [self.callers.run() for _ in range(callers)]
        clients += [self._prober.run(entry) for entry in self.entries]
        clients.append(self.lag.run())
        clients += [caller.run() for caller in self._kept_callers()]
        clients += [self._leaving_callers.run() for _ in range(LEAVING_CALLERS)]
        self._tasks = [asyncio.create_task(c) for c in clients]
        self._operator_tasks = [
            asyncio.create_task(self.operator.run())
            for _ in range(OPERATOR_COUNT)
        ]

    def _kept_callers(self) -> list[_kept_callers.KeptCaller]:
        return [
            _kept_callers.KeptCaller(
                f"{kind.name}{number}",
                kind,
                self.entries,
                self.checks,
                self.random,
            )
            for kind in _kept_callers.KINDS
            for number in range(min(len(self.entries), MAX_CALLERS_OF_KIND))
        ]

    async def add_server(self, service: str, domain: str) -> None:
        """Starts a new backend server behind a proxy.

        Args:
            service: Service that it serves.
            domain: Its fabric domain; empty for a plain server.
        """
        self._started_servers += 1
        server = _servers.CheckingServer(
            f"s{self._started_servers}",
            service,
            [node.public_proxy.listen_address for node in self.controls],
            domain,
            self.history,
            self.servers,
            self.checks,
        )
        server.born = server.next_start()
        await server.start()
        listen_address = f"127.0.0.1:{ports.free_port()}"
        proxy = _proxy.Proxy(listen_address, server.address, server.watch)
        await proxy.start()
        await self.cuts.apply_to(proxy)
        server.address = listen_address
        self.servers[server.server_id] = server
        self._server_proxies[server.server_id] = proxy

    async def stop_server(self, server: _servers.CheckingServer) -> None:
        """Stops a backend server abruptly unless it was stopped already."""
        if not server.is_running:
            return
        server.is_running = False
        if server.watch is not None:
            server.watch.begin("ended")
        await server.stop()
        await self._server_proxies.pop(server.server_id).stop()

    def proxy_of(self, server: _servers.CheckingServer) -> _proxy.Proxy:
        """Returns the proxy in front of a running backend server."""
        return self._server_proxies[server.server_id]

    def running_servers(self) -> list[_servers.CheckingServer]:
        """Returns the backend servers that are running."""
        return [s for s in self.servers.values() if s.is_running]

    async def stop_operators(self) -> None:
        """Ends all changes of the document."""
        await _cancel(self._operator_tasks)

    async def stop(self) -> None:
        """Stops everything that it started."""
        await self.stop_operators()
        await _cancel(self._tasks)
        for node in self.nodes:
            await node.stop()
        for server in self.running_servers():
            with contextlib.suppress(OSError):
                await self.stop_server(server)


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
