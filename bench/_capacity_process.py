"""Slopes of whole processes: resident memory, HTTP exchanges and links."""

import asyncio
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import gc
import socket
import subprocess
import sys
import time
import tracemalloc

from aiohttp import test_utils
from aiohttp import web

from bench import _slopes
from lagooncrank import clock
from lagooncrank import model
from lagooncrank.server import links

BYTES_PER_KIB = 1_024
LINK_CHECK_INTERVAL_S = 0.05
LINK_CHECKS = 400
#: Bytes of a request line or status line, with the empty line that terminates
#: the headers.
FIRST_LINE_BYTES = 28
_RESIDENT_KIB_SCRIPT = (
    "import re, sys; {code}; "
    "text = open('/proc/self/status').read(); "
    "print(re.search('VmRSS:\\\\s*(\\\\d+)', text).group(1))"
)


def resident_bytes(code: str) -> int:
    """Returns the resident memory of a new interpreter after running `code`."""
    command = [sys.executable, "-c", _RESIDENT_KIB_SCRIPT.format(code=code)]
    stdout = subprocess.run(
        command, check=True, capture_output=True, text=True
    ).stdout
    return int(stdout) * BYTES_PER_KIB


@_slopes.measurement(
    "memory_interpreter", "B", "process", "resident, Python alone"
)
def _memory_interpreter() -> Iterator[_slopes.Point]:
    for size in (1, 2, 3):
        yield _slopes.Point(size, size * resident_bytes("pass"))


@_slopes.measurement(
    "memory_daemon", "B", "process", "resident, the daemon's code loaded"
)
def _memory_daemon() -> Iterator[_slopes.Point]:
    code = "import lagooncrank.server._main"
    for size in (1, 2, 3):
        yield _slopes.Point(size, size * resident_bytes(code))


@_slopes.measurement(
    "cpu_http", "us", "exchange", "HTTP request and answer, both ends"
)
def _cpu_http() -> Iterator[_slopes.Point]:
    for size in (100, 200, 400):
        timings = [
            asyncio.run(_http_exchanges(size))
            for _ in range(_slopes.TIMING_REPEATS)
        ]
        yield _slopes.Point(size, min(timing.cpu_us for timing in timings))


@_slopes.measurement(
    "http_headers", "B", "exchange", "headers of request and answer"
)
def _http_headers() -> Iterator[_slopes.Point]:
    for size in (10, 20, 40):
        totals = asyncio.run(_http_exchanges(size))
        yield _slopes.Point(size, totals.header_bytes)


@dataclasses.dataclass(slots=True)
class _HttpTotals:
    cpu_us: float = 0.0
    header_bytes: int = 0


async def _http_exchanges(count: int) -> _HttpTotals:
    """Measures a number of HTTP exchanges over one connection."""
    totals = _HttpTotals()

    async def handle(request: web.Request) -> web.Response:
        await request.read()
        return web.json_response({"code": 0})

    app = web.Application()
    app.router.add_post("/v1/announce", handle)
    server = test_utils.TestServer(app)
    async with test_utils.TestClient(server) as client:
        await client.post("/v1/announce", json={})
        start_ns = time.process_time_ns()
        for _ in range(count):
            response = await client.post("/v1/announce", json={})
            await response.read()
            totals.header_bytes += _header_bytes(
                response.request_info.headers
            ) + _header_bytes(response.headers)
        elapsed_ns = time.process_time_ns() - start_ns
        totals.cpu_us = elapsed_ns / _slopes.NS_PER_US
    return totals


def _header_bytes(headers: Mapping[str, str]) -> int:
    """Returns the bytes of the headers with a first line of typical length."""
    lines_bytes = sum(len(f"{name}: {headers[name]}") + 2 for name in headers)
    return lines_bytes + FIRST_LINE_BYTES


@_slopes.measurement("memory_link", "B", "link end", "memory, open links")
def _memory_link() -> Iterator[_slopes.Point]:
    for nodes in (2, 4, 8, 16):
        allocated_bytes = asyncio.run(_mesh_bytes(nodes))
        yield _slopes.Point(nodes * (nodes - 1), allocated_bytes)


async def _mesh_bytes(nodes: int) -> int:
    """Returns the memory that a full mesh of links allocates."""
    gc.collect()
    tracemalloc.start()
    mesh = _mesh(nodes)
    try:
        for node in mesh:
            await node.start()
        await _wait_until_connected(mesh)
        gc.collect()
        allocated_bytes, _ = tracemalloc.get_traced_memory()
        return allocated_bytes
    finally:
        tracemalloc.stop()
        for node in mesh:
            await node.stop()


async def _wait_until_connected(mesh: list[links.Links]) -> None:
    for _ in range(LINK_CHECKS):
        if all(len(node.connected()) == len(mesh) - 1 for node in mesh):
            return
        await asyncio.sleep(LINK_CHECK_INTERVAL_S)
    raise TimeoutError("the links of the mesh were not open in time")


def _mesh(nodes: int) -> list[links.Links]:
    listeners = {}
    for index in range(nodes):
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listeners[model.NodeId(f"node-{index:03d}")] = listener
    addresses = {
        node_id: f"127.0.0.1:{listener.getsockname()[1]}"
        for node_id, listener in listeners.items()
    }
    return [
        links.Links(
            node_id,
            addresses,
            b"bench-key",
            clock.SystemClock(),
            listener=listener,
        )
        for node_id, listener in listeners.items()
    ]
