"""Connections that go silent are not used again."""

import asyncio
import socket

from aiohttp import web

from lagooncrank.server import _pools
from lagooncrank.server import _sockets
from standins import _process


class Server:
    """Counts connections; answers wait until they are let go."""

    def __init__(self) -> None:
        self.peers: set[tuple[str, int]] = set()
        self.arrived = asyncio.Event()
        self.answering = asyncio.Event()
        self.answering.set()

    def app(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/", self._answer)
        app.router.add_get("/open", self._stay_open)
        return app

    async def _stay_open(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await self.answering.wait()
        return response

    async def _answer(self, request: web.Request) -> web.Response:
        assert request.transport is not None
        self.peers.add(request.transport.get_extra_info("peername"))
        self.arrived.set()
        await self.answering.wait()
        return web.Response(text="done")


async def ask(pools: _pools.ConnectionPools, address: str) -> str:
    async with (
        pools.session(address) as session,
        session.get(f"http://{address}/") as response,
    ):
        return await response.text()


async def test_dropped_pool_opens_a_new_connection() -> None:
    server = Server()
    listener = _process.listen(0)
    address = _process.address_of(listener)
    close = await _process.serve(server.app(), listener)
    pools = _pools.ConnectionPools()
    await ask(pools, address)
    await ask(pools, address)
    kept = len(server.peers)
    server.answering.clear()
    server.arrived.clear()
    waiting = asyncio.create_task(ask(pools, address))
    await server.arrived.wait()
    await pools.drop(address)
    server.answering.set()
    assert await waiting == "done"
    await ask(pools, address)
    await pools.on_stop()
    await close()
    assert (kept, len(server.peers)) == (1, 2)


async def test_sockets_notice_a_dead_peer() -> None:
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


async def test_backend_connections_have_watched_sockets() -> None:
    server = Server()
    listener = _process.listen(0)
    address = _process.address_of(listener)
    close = await _process.serve(server.app(), listener)
    pools = _pools.ConnectionPools()
    server.answering.clear()
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
        server.answering.set()
        await response.read()
    await pools.on_stop()
    await close()
    assert timeout_ms == _sockets.USER_TIMEOUT_MS
