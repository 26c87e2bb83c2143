"""Everything that one seed runs."""

import asyncio
import contextlib
import pathlib
import random
from typing import Final

from lagooncrank_platform.tests import local_cluster

from soak import _callers
from soak import _ledger
from soak import _losses
from soak import _nodes
from soak import _operator
from soak import _proxy
from soak import _servers

CONTROLS: Final = 3
CALLERS: Final = 8
#: Bits of a loopback address that tell deployments apart.
NETWORKS: Final = range(1, 250)


class Deployment:
    """Nodes, servers, callers and an operator."""

    def __init__(
        self, folder: pathlib.Path, seed: int, entries: int, engines: int
    ) -> None:
        self.random = random.Random(seed)
        self.ledger = _ledger.Ledger()
        network = f"127.1.{NETWORKS[seed % len(NETWORKS)]}"
        ips = [f"{network}.{n}" for n in range(1, CONTROLS + entries + 1)]
        plan = _nodes.Plan(
            folder,
            local_cluster.free_port(ips[0]),
            tuple(f"{ip}:1" for ip in ips[:CONTROLS]),
        )
        self.controls = [
            _nodes.Node(plan, ip, "control") for ip in ips[:CONTROLS]
        ]
        self.entries = [_nodes.Node(plan, ip, "entry") for ip in ips[CONTROLS:]]
        self.servers: dict[str, _servers.CheckedServer] = {}
        self._server_proxies: dict[str, _proxy.Proxy] = {}
        self._engines = engines
        self._started = 0
        #: When the start began, on the clock of the loop.
        self.began_s = 0.0
        self.losses = _losses.Losses()
        self.callers = _callers.Callers(self.entries, self.ledger, self.random)
        self.operator = _operator.Operator(
            self.controls, self.ledger, self.random
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def nodes(self) -> list[_nodes.Node]:
        """Control nodes and entries."""
        return [*self.controls, *self.entries]

    @property
    def proxies(self) -> list[_proxy.Proxy]:
        """Every proxy."""
        of_nodes = [p for n in self.nodes for p in n.proxies]
        return [*of_nodes, *self._server_proxies.values()]

    async def start(self) -> None:
        """Starts all; callers and the operator begin at once."""
        self.began_s = asyncio.get_running_loop().time()
        await asyncio.gather(*(node.start() for node in self.nodes))
        for _ in range(self._engines):
            await self.add_server("writers", "d1")
        for _ in range(2):
            await self.add_server("desk", "")
        runs = [self.callers.run() for _ in range(CALLERS)]
        runs.append(self.operator.run())
        self._tasks = [asyncio.create_task(r) for r in runs]

    async def add_server(self, service: str, domain: str) -> None:
        """Starts a new backend server behind a proxy."""
        self._started += 1
        server = _servers.CheckedServer(
            f"s{self._started}",
            service,
            [node.public.listen for node in self.controls],
            domain,
            self.ledger,
            self.servers,
        )
        server.born = self._started
        await server.start()
        listen = f"127.0.0.1:{local_cluster.free_port('127.0.0.1')}"
        proxy = _proxy.Proxy(listen, server.address)
        await proxy.start()
        server.address = listen
        self.servers[server.server_id] = server
        self._server_proxies[server.server_id] = proxy

    async def lose_server(self, server: _servers.CheckedServer) -> None:
        """Ends a backend server without a word, unless it has ended."""
        if not server.is_running:
            return
        server.is_running = False
        await server.stop()
        await self._server_proxies.pop(server.server_id).stop()

    def running_servers(self) -> list[_servers.CheckedServer]:
        """Returns the backend servers that run."""
        return [s for s in self.servers.values() if s.is_running]

    async def stop(self) -> None:
        """Ends all that it started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes:
            await node.stop()
        for server in self.running_servers():
            with contextlib.suppress(OSError):
                await self.lose_server(server)
