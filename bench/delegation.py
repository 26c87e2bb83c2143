"""Measures what the delegation of a request costs, against the direct way.

Real processes: one entry is cut off from all backend servers, another is not.
Requests go to either in turns, one at a time.

Run: PYTHONPATH=platform:. python -m bench.delegation
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import statistics
import tempfile
import time
from typing import Any
from typing import Final

import aiohttp
from lagooncrank_platform.tests import provider_protocol

from soak import _deployment
from soak import _nodes
from soak import _proxy

RESULTS: Final = pathlib.Path(__file__).with_name("results") / "delegation.json"
SEED: Final = 7
ENGINES: Final = 6
REQUESTS: Final = 400
WARM_UP_REQUESTS: Final = 20
START_TIMEOUT_S: Final = 60.0
PATHS: Final = {"stream": "/draft/a", "booking": "/book/a"}
#: Fields of `/proc/PID/stat` with user and system time, after the name.
CPU_FIELDS: Final = (11, 12)


@dataclasses.dataclass(slots=True)
class Way:
    """Requests to one entry, and the processor time of both entries."""

    first_ms: list[float] = dataclasses.field(default_factory=list)
    cpu_s: float = 0.0

    def as_row(self) -> dict[str, float]:
        """Returns the values for the results file."""
        quantiles = statistics.quantiles(self.first_ms, n=100)
        return {
            "requests": len(self.first_ms),
            "first_byte_p50_ms": round(quantiles[49], 2),
            "first_byte_p99_ms": round(quantiles[98], 2),
            "cpu_ms_per_request": round(
                1_000 * self.cpu_s / len(self.first_ms), 2
            ),
        }


def cpu_s(nodes: list[_nodes.Node]) -> float:
    """Returns the processor time that some nodes have used."""
    ticks = 0
    for node in nodes:
        stat = pathlib.Path(f"/proc/{node.process_id}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks += sum(int(fields[n]) for n in CPU_FIELDS)
    return ticks / os.sysconf("SC_CLK_TCK")


async def send(
    session: aiohttp.ClientSession, entry: _nodes.Node, path: str, number: int
) -> float | None:
    """Returns the time to the first byte of a body; None if not served."""
    headers = provider_protocol.request_headers(path, f"d{number}")
    url = f"http://{entry.public_proxy.target_address}{path}"
    began_s = time.perf_counter()
    async with session.post(url, data=b"text", headers=headers) as response:
        await response.content.readany()
        first_ms = 1_000 * (time.perf_counter() - began_s)
        await response.read()
        return first_ms if response.status == 200 else None


async def wait_until_served(
    session: aiohttp.ClientSession, entries: list[_nodes.Node]
) -> None:
    """Waits until every entry serves every kind of request several times."""
    async with asyncio.timeout(START_TIMEOUT_S):
        for entry in entries:
            for path in PATHS.values():
                served = 0
                while served < WARM_UP_REQUESTS:
                    served += await send(session, entry, path, 0) is not None
                    await asyncio.sleep(0.02)


async def measure(
    deployment: _deployment.Deployment, session: aiohttp.ClientSession
) -> dict[str, dict[str, float]]:
    """Measures both ways for each kind of request."""
    cut_off, direct = deployment.entries
    await wait_until_served(session, deployment.entries)
    await deployment.cuts.cut(cut_off.ip, _proxy.CutKind.RESET)
    await wait_until_served(session, deployment.entries)
    rows = {}
    for kind, path in PATHS.items():
        for name, entry in (("direct", direct), ("delegated", cut_off)):
            way = Way()
            before_s = cpu_s(deployment.entries)
            for number in range(REQUESTS):
                first_ms = await send(session, entry, path, number)
                if first_ms is not None:
                    way.first_ms.append(first_ms)
            way.cpu_s = cpu_s(deployment.entries) - before_s
            rows[f"{kind}, {name}"] = way.as_row()
    return rows


async def run() -> dict[str, Any]:
    """Runs the measurement and returns the rows of the results file."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="bench-"))
    deployment = _deployment.Deployment(folder, SEED, 2, ENGINES)
    async with aiohttp.ClientSession() as session:
        try:
            await deployment.start(callers=0)
            return await measure(deployment, session)
        finally:
            await deployment.stop()


def main() -> None:
    """Runs the measurement, prints and stores its rows."""
    rows = asyncio.run(run())
    for name, row in rows.items():
        print(name, row)
    RESULTS.write_text(json.dumps(rows, indent=2) + "\n")


if __name__ == "__main__":
    main()
