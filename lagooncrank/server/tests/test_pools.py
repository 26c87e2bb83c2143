"""Connection pools and the detection of dead peers."""

import asyncio
import socket

from aiohttp import web

from lagooncrank import clock as clocks
from lagooncrank import observed_time
from lagooncrank.server import _pools
from lagooncrank.server import _sockets
from standins import _process


class FakeServer:
    """Records client connections; responds while `may_respond` is set."""

    def __init__(self) -> None:
        self.peers: set[tuple[str, int]] = set()
        self.arrived = asyncio.Event()
        self.may_respond = asyncio.Event()
        self.may_respond.set()

    def app(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/", self._respond)
        app.router.add_get("/open", self._stay_open)
        return app

    async def _stay_open(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await self.may_respond.wait()
        return response

    async def _respond(self, request: web.Request) -> web.Response:
        assert request.transport is not None
        self.peers.add(request.transport.get_extra_info("peername"))
        self.arrived.set()
        await self.may_respond.wait()
        return web.Response(text="done")


async def fetch(pools: _pools.ConnectionPools, address: str) -> str:
    async with (
        pools.session(address) as session,
        session.get(f"http://{address}/") as response,
    ):
        return await response.text()


async def test_dropped_pool_opens_a_new_connection() -> None:
    server = FakeServer()
    listener = _process.bind_loopback(0)
    address = _process.bound_address(listener)
    close = await _process.serve(server.app(), listener)
    pools = _pools.ConnectionPools(
        observed_time.ObservedClock(clocks.SystemClock())
    )
    await fetch(pools, address)
    await fetch(pools, address)
    first_count = len(server.peers)
    server.may_respond.clear()
    server.arrived.clear()
    pending_fetch = asyncio.create_task(fetch(pools, address))
    await server.arrived.wait()
    await pools.drop(address)
    server.may_respond.set()
    assert await pending_fetch == "done"
    await fetch(pools, address)
    await pools.on_stop()
    await close()
    assert (first_count, len(server.peers)) == (1, 2)


async def test_sockets_detect_a_dead_peer() -> None:
    listener = _sockets.listener(f"{_process.LOOPBACK}:0")
    address = _sockets.bound_address(listener)
    host, _, port = address.rpartition(":")
    client = _sockets.client_socket(
        (socket.AF_INET, socket.SOCK_STREAM, 0, "", (host, int(port)))
    )
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client, (host, int(port)))
    accepted, _ = await loop.sock_accept(listener)
    for sock in (client, accepted):
        user_timeout_ms = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        assert user_timeout_ms == _sockets.USER_TIMEOUT_MS
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
    for sock in (client, accepted, listener):
        sock.close()


async def test_backend_connections_detect_a_dead_peer() -> None:
    server = FakeServer()
    listener = _process.bind_loopback(0)
    address = _process.bound_address(listener)
    close = await _process.serve(server.app(), listener)
    pools = _pools.ConnectionPools(
        observed_time.ObservedClock(clocks.SystemClock())
    )
    server.may_respond.clear()
    async with (
        pools.session(address) as session,
        session.get(f"http://{address}/open") as response,
    ):
        assert response.connection is not None
        assert response.connection.transport is not None
        sock = response.connection.transport.get_extra_info("socket")
        timeout_ms = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        server.may_respond.set()
        await response.read()
    await pools.on_stop()
    await close()
    assert timeout_ms == _sockets.USER_TIMEOUT_MS
