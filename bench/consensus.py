"""Measures the shared state with real processes on loopback.

Commits a second, the pause that a killed or stopped leader leaves, the time
until a change is in force on all nodes, and what idle nodes send each other.

    python -m bench.consensus
"""

import asyncio
from collections.abc import Iterator
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import tempfile
from typing import Any

import yaml

from bench import consensus_node
from standins import processes

RESULTS = pathlib.Path(__file__).with_name("results") / "consensus.json"
LOOPBACK = "127.0.0.1"
VOTERS = 3
WIDTHS = (1, 16, 64)
LOAD_S = 4.0
FAILOVERS = 5
SETTLE_S = 3.0
START_TIMEOUT_S = 30.0
POLL_S = 0.1
IDLE_S = 5.0
FOLLOWERS = (0, 2, 4)

Line = dict[str, Any]


class ConsensusCluster:
    """Voters and followers without a disk, each a process."""

    def __init__(self, folder: pathlib.Path, followers: int) -> None:
        self._folder = folder
        self.processes = processes.Processes(folder)
        self.voters = [f"v{i}" for i in range(VOTERS)]
        self.followers = [f"e{i}" for i in range(followers)]
        self._write_settings()

    async def start(
        self, mode: str = consensus_node.IDLE, width: int = 0
    ) -> None:
        """Starts every node; the last one proposes."""
        names = self.voters + self.followers
        for name in names:
            proposes = name == names[-1]
            await self.start_node(
                name, mode if proposes else consensus_node.IDLE, width
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            await self._started(mode)

    async def _started(self, mode: str) -> None:
        while True:
            await asyncio.sleep(POLL_S)
            led = any(any(self.lines(n, "leads")) for n in self.voters)
            last = (self.voters + self.followers)[-1]
            committed = any(self.lines(last, "commit"))
            if led and (committed or mode == consensus_node.IDLE):
                return

    async def start_node(self, name: str, mode: str, width: int) -> None:
        """Starts one node."""
        path = str(self._folder / f"{name}.yaml")
        await self.processes.start(
            name, "bench.consensus_node", path, mode, str(width)
        )

    def lines(self, name: str, kind: str) -> Iterator[Line]:
        """Yields what a node printed of one kind."""
        for text in self.processes.log_path(name).read_text().splitlines():
            with contextlib.suppress(json.JSONDecodeError):
                line = json.loads(text)
                if line["kind"] == kind:
                    yield line

    def leader(self) -> str:
        """Returns the voter that began to lead last."""
        began = {
            name: max(
                (x["at_ms"] for x in self.lines(name, "leads")), default=0
            )
            for name in self.voters
            if any(self.lines(name, "leads"))
        }
        return max(began, key=lambda name: began[name])

    async def stop(self) -> None:
        """Stops every node in an orderly way."""
        for name in self.processes.names():
            await self.processes.stop(name)

    def _write_settings(self) -> None:
        names = self.voters + self.followers
        key = self._folder / "shared.key"
        key.write_text("bench-key-0123456789-0123456789\n")
        addresses = _free_addresses(2 * len(names))
        nodes = [
            {
                "node_id": name,
                "peer_address": address,
                "entry_address": entry,
                "failure_domain_id": "d",
                "roles": ["entry", "control"]
                if name in self.voters
                else ["entry"],
            }
            for name, address, entry in zip(
                names, addresses[::2], addresses[1::2], strict=True
            )
        ]
        for name in names:
            data = str(self._folder / "data" / name)
            text = yaml.safe_dump(
                {
                    "node_id": name,
                    "nodes": nodes,
                    "shared_key_file": str(key),
                    "data_folder": data,
                }
            )
            (self._folder / f"{name}.yaml").write_text(text)


def _free_addresses(count: int) -> list[str]:
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((LOOPBACK, 0))
    addresses = [f"{LOOPBACK}:{s.getsockname()[1]}" for s in sockets]
    for sock in sockets:
        sock.close()
    return addresses


@contextlib.asynccontextmanager
async def _cluster(followers: int) -> Any:
    with tempfile.TemporaryDirectory() as folder:
        cluster = ConsensusCluster(pathlib.Path(folder), followers)
        try:
            yield cluster
        finally:
            await cluster.processes.kill_all()


async def _throughput(width: int) -> Line:
    async with _cluster(followers=1) as cluster:
        await cluster.start(consensus_node.THROUGHPUT, width)
        await asyncio.sleep(LOAD_S)
        commits = list(cluster.lines(cluster.followers[0], "commit"))
    end_ms = commits[-1]["at_ms"]
    last = [c for c in commits if c["at_ms"] > end_ms - LOAD_S * 1_000 / 2]
    span_ms = end_ms - last[0]["at_ms"]
    waits = sorted(c["took_ms"] for c in last)
    return {
        "concurrent": width,
        "commits_per_s": round(len(last) / span_ms * 1_000),
        "p50_ms": waits[len(waits) // 2],
        "p99_ms": waits[len(waits) * 99 // 100],
        "failed": sum(1 for c in commits if c["code"] != 0),
    }


async def _failover(number: int) -> Line:
    """Measures the pause in one follower's commits when the leader goes.

    Changes count as in force once the nodes other than that leader
    applied them.
    """
    async with _cluster(followers=1) as cluster:
        await cluster.start(consensus_node.STEADY, 1)
        await asyncio.sleep(SETTLE_S)
        leader = cluster.leader()
        os.kill(cluster.processes.pid(leader), number)
        await asyncio.sleep(SETTLE_S)
        if number == signal.SIGSTOP:
            os.kill(cluster.processes.pid(leader), signal.SIGCONT)
            await asyncio.sleep(1.0)
        commits = list(cluster.lines(cluster.followers[0], "commit"))
        in_force = [
            {x["revision"]: x["at_ms"] for x in cluster.lines(n, "in_force")}
            for n in cluster.voters + cluster.followers
            if n != leader
        ]
    times = [c["at_ms"] for c in commits]
    gaps = [b - a for a, b in itertools.pairwise(times)]
    return {
        "pause_ms": max(gaps),
        "failed": sum(1 for c in commits if c["code"] != 0),
        "spreads_ms": sorted(_spreads(in_force)),
    }


def _spreads(in_force: list[dict[int, int]]) -> Iterator[int]:
    """Yields for each revision the time from the first node to the last."""
    for revision in set.intersection(*(set(x) for x in in_force)):
        times = [x[revision] for x in in_force]
        yield max(times) - min(times)


async def _idle(followers: int) -> Line:
    """Measures what nodes send when nothing changes."""
    async with _cluster(followers) as cluster:
        await cluster.start()
        await asyncio.sleep(IDLE_S)
        leader = cluster.leader()
        await cluster.stop()
        began_ms = next(cluster.lines(leader, "leads"))["at_ms"]
        sent = {
            n: next(cluster.lines(n, "sent"))
            for n in cluster.voters + cluster.followers
        }
    elapsed_s = (sent[leader]["at_ms"] - began_ms) / 1_000
    rates = {
        name: {
            "messages_per_s": round(sum(x["messages"].values()) / elapsed_s, 1),
            "bytes_per_s": round(sum(x["bytes"].values()) / elapsed_s),
        }
        for name, x in sent.items()
    }
    others = [rates[n] for n in rates if n != leader]
    return {
        "followers": followers,
        "leader": rates[leader],
        "largest_other": max(others, key=lambda r: r["bytes_per_s"]),
        "follower": rates.get("e0"),
    }


async def _measure() -> dict[str, Any]:
    throughput = [await _throughput(width) for width in WIDTHS]
    kills = [await _failover(signal.SIGKILL) for _ in range(FAILOVERS)]
    stops = [await _failover(signal.SIGSTOP) for _ in range(FAILOVERS)]
    idle = [await _idle(count) for count in FOLLOWERS]
    spreads = sorted(s for run in kills + stops for s in run.pop("spreads_ms"))
    return {
        "throughput": throughput,
        "leader_killed": kills,
        "leader_stopped": stops,
        "in_force_spread_ms": {
            "changes": len(spreads),
            "p50": spreads[len(spreads) // 2],
            "p99": spreads[len(spreads) * 99 // 100],
            "max": spreads[-1],
        },
        "idle": idle,
    }


def _table(results: dict[str, Any]) -> Iterator[str]:
    yield "| concurrent proposals | commits/s | p50 ms | p99 ms | failed |"
    yield "| --- | --- | --- | --- | --- |"
    for row in results["throughput"]:
        yield "| " + " | ".join(str(v) for v in row.values()) + " |"
    yield ""
    yield "| leader | pause in commits, ms | failed |"
    yield "| --- | --- | --- |"
    for name in ("leader_killed", "leader_stopped"):
        pauses = sorted(run["pause_ms"] for run in results[name])
        failed = sum(run["failed"] for run in results[name])
        yield f"| {name} | {pauses} | {failed} |"
    yield ""
    yield f"in force on all nodes: {results['in_force_spread_ms']}"
    yield ""
    yield "| followers | leader | largest other | follower |"
    yield "| --- | --- | --- | --- |"
    for row in results["idle"]:
        yield "| " + " | ".join(str(v) for v in row.values()) + " |"


def main() -> None:
    """Runs every measurement, stores and prints the results."""
    results = asyncio.run(_measure())
    RESULTS.write_text(json.dumps(results, indent=2) + "\n")
    print("\n".join(_table(results)))


if __name__ == "__main__":
    main()
