"""Measures what one entry adds to a draft, and what a draft costs it.

- Latency: in one run, each request goes to an engine directly or through the
  entry, as a seeded draw decides; the difference is what the entry adds.
- Cost: processor time of the entry for short answers gives the cost of a
  request; for long answers, that of a relayed token.
- Memory: resident memory of the entry with 1,000 open streams.

Run: python -m bench.entry_overhead
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import pathlib
import random
import tempfile
import time
from typing import Any

from bench import load_client
from bench import load_cluster
from bench import load_tool

RESULTS = pathlib.Path(__file__).with_name("results") / "entry_overhead.json"
SEED = 7
PROMPT = "Cost breakdown of a gas connection for flat number"
#: Targets: five times what one node carries in the plan.
TARGET_REQUESTS_PER_S = 180
TARGET_TOKENS_PER_S = 40_000
LATENCY_LOAD = load_tool.Load(20.0, 10.0, SEED)
LATENCY_TOKENS = 20
#: Many short answers.
REQUEST_LOAD = load_tool.Load(180.0, 8.0, SEED)
REQUEST_TOKENS = 2
#: Streams that run at once while the cost of a token is measured.
TOKEN_STREAMS = 600
TOKEN_STREAM_TOKENS = 200
#: Tokens in one event of engines that predict several at once.
TOKENS_PER_EVENT = 4
MEMORY_STREAMS = 1_000
MIB = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Processor time of the entry over one measured period."""

    requests: int
    tokens: int
    wall_s: float
    cpu_s: float

    def as_row(self) -> dict[str, float]:
        """Returns the figures that the results file holds."""
        return {
            "requests": self.requests,
            "tokens": self.tokens,
            "wall_s": round(self.wall_s, 2),
            "cpu_s": round(self.cpu_s, 2),
            "core_fraction": round(self.cpu_s / self.wall_s, 3),
        }


class Bench:
    """The runs against one site."""

    def __init__(self, cluster: load_cluster.LoadCluster) -> None:
        self._cluster = cluster
        self._entry = load_client.StreamClient(cluster.entry)

    async def latency(self) -> dict[str, dict[str, Any]]:
        """Compares direct requests with requests through the entry."""
        rng = random.Random(SEED)
        direct = load_client.Measurements()
        through = load_client.Measurements()
        clients = [
            load_client.StreamClient(engine.address)
            for engine in self._cluster.engines
        ]

        async def send(index: int, due_ns: int) -> None:
            if rng.random() < 0.5:
                await self._ask(index, LATENCY_TOKENS, through, due_ns)
                return
            turn = index % len(clients)
            request = self._engine_request(index, self._cluster.engines[turn])
            await clients[turn].send_request(request, direct, due_ns)

        await load_tool.run(LATENCY_LOAD, send)
        for client in clients:
            client.close()
        return {
            "direct": load_tool.summary(direct),
            "entry": load_tool.summary(through),
        }

    async def request_cost(self) -> Cost:
        """Measures many short answers."""
        measured = load_client.Measurements()

        async def send(index: int, due_ns: int) -> None:
            await self._ask(index, REQUEST_TOKENS, measured, due_ns)

        cpu_s = self._cluster.entry_cpu_s()
        wall_s = await load_tool.run(REQUEST_LOAD, send)
        used_s = self._cluster.entry_cpu_s() - cpu_s
        _check_all_answered(measured)
        count = measured.answers["200"]
        return Cost(count, measured.tokens, wall_s, used_s)

    async def token_cost(self) -> tuple[Cost, dict[str, Any]]:
        """Measures many streams that run at once."""
        measured = load_client.Measurements()
        cpu_s = self._cluster.entry_cpu_s()
        start_ns = time.perf_counter_ns()
        await asyncio.gather(
            *(
                self._ask(i, TOKEN_STREAM_TOKENS, measured, start_ns)
                for i in range(TOKEN_STREAMS)
            )
        )
        wall_s = (time.perf_counter_ns() - start_ns) / load_tool.NS_PER_S
        used_s = self._cluster.entry_cpu_s() - cpu_s
        _check_all_answered(measured)
        cost = Cost(TOKEN_STREAMS, measured.tokens, wall_s, used_s)
        return cost, load_tool.summary(measured)

    async def memory(self) -> float:
        """Returns MiB of resident memory that 1,000 open streams add."""
        before = self._cluster.entry_memory_bytes()
        measured = load_client.Measurements()
        now_ns = time.perf_counter_ns()
        tasks = [
            asyncio.create_task(self._ask(i, 4_000, measured, now_ns))
            for i in range(MEMORY_STREAMS)
        ]
        while True:
            if measured.first_token_us.get_total_count() == MEMORY_STREAMS:
                break
            await asyncio.sleep(0.1)
        added = self._cluster.entry_memory_bytes() - before
        for task in tasks:
            task.cancel()
        return added / MIB

    def close(self) -> None:
        """Closes the connections to the entry."""
        self._entry.close()

    async def _ask(
        self,
        index: int,
        tokens: int,
        into: load_client.Measurements,
        due_ns: int,
    ) -> None:
        request = load_tool.completion_request(
            self._cluster.entry,
            load_cluster.ACCOUNT_KEY,
            load_cluster.MODEL,
            f"{PROMPT} {index}",
            tokens,
        )
        await self._entry.send_request(request, into, due_ns)

    def _engine_request(
        self, index: int, engine: load_cluster.EngineAddress
    ) -> load_client.Request:
        body = {
            "request_id": f"direct-{index}",
            "attempt": 1,
            "replica_id": engine.replica_id,
            "fencing_number": engine.fencing_number,
            "prompt": f"{PROMPT} {index}",
            "resume_from": [],
            "max_tokens": LATENCY_TOKENS,
            "priority": 0,
        }
        path = "/v1/generate"
        return load_client.Request.to(
            engine.address, path, body, LATENCY_TOKENS
        )


def _check_all_answered(measured: load_client.Measurements) -> None:
    if set(measured.answers) != {"200"}:
        raise RuntimeError(
            f"not every request was answered: {measured.answers}"
        )


def _added_ms(
    latency: dict[str, dict[str, Any]], name: str
) -> dict[str, float]:
    direct = latency["direct"][name]
    entry = latency["entry"][name]
    return {p: round(entry[p] - direct[p], 3) for p in direct}


def _per_core(request: Cost, token: Cost) -> dict[str, float]:
    """Solves the two runs for the cost of a request and of a token."""
    # cpu = requests * r + tokens * t, once for each run.
    determinant = (
        request.requests * token.tokens - request.tokens * token.requests
    )
    per_request_s = (
        request.cpu_s * token.tokens - token.cpu_s * request.tokens
    ) / determinant
    per_token_s = (
        request.requests * token.cpu_s - token.requests * request.cpu_s
    ) / determinant
    return {
        "cpu_us_per_request": round(per_request_s * 1e6, 1),
        "cpu_us_per_token": round(per_token_s * 1e6, 2),
        "requests_per_s_per_core": round(1 / per_request_s),
        "tokens_per_s_per_core": round(1 / per_token_s),
    }


async def _single_tokens() -> dict[str, Any]:
    """Runs everything with engines that send one token in an event."""
    async with _running(load_cluster.EngineShape()) as bench:
        latency = await bench.latency()
        request_cost = await bench.request_cost()
        token_cost, token_run = await bench.token_cost()
        memory_mib = await bench.memory()
    return {
        "latency": latency,
        "added_first_token_ms": _added_ms(latency, "first_token_ms"),
        "added_between_tokens_ms": _added_ms(latency, "between_tokens_ms"),
        "request_run": request_cost.as_row(),
        "token_run": token_cost.as_row() | {"percentiles": token_run},
        "per_core": _per_core(request_cost, token_cost),
        "memory_mib_per_1000_streams": round(memory_mib, 1),
    }


async def _several_tokens() -> dict[str, Any]:
    """Measures engines that send several tokens in an event."""
    shape = load_cluster.EngineShape(tokens_per_event=TOKENS_PER_EVENT)
    async with _running(shape) as bench:
        cost, run = await bench.token_cost()
    return cost.as_row() | {
        "tokens_per_event": TOKENS_PER_EVENT,
        "tokens_per_s_per_core": round(cost.tokens / cost.cpu_s),
        "percentiles": run,
    }


@contextlib.asynccontextmanager
async def _running(
    shape: load_cluster.EngineShape,
) -> AsyncIterator[Bench]:
    with tempfile.TemporaryDirectory(prefix="lagooncrank-bench-") as name:
        cluster = load_cluster.LoadCluster(pathlib.Path(name), shape)
        try:
            await cluster.start()
            bench = Bench(cluster)
            yield bench
            bench.close()
        finally:
            await cluster.stop()


async def _main() -> None:
    results: dict[str, Any] = {
        "seed": SEED,
        "target": {
            "requests_per_s": TARGET_REQUESTS_PER_S,
            "tokens_per_s": TARGET_TOKENS_PER_S,
        },
    }
    results |= await _single_tokens()
    results["several_tokens"] = await _several_tokens()
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(results, indent=1) + "\n")
    runs = {
        "600 streams": results["token_run"]["percentiles"],
        "600 streams, 4 tokens an event": (
            results["several_tokens"]["percentiles"]
        ),
    }
    print(load_tool.table(results["latency"] | runs))
    for name in (
        "added_first_token_ms",
        "added_between_tokens_ms",
        "per_core",
        "memory_mib_per_1000_streams",
    ):
        print(f"{name}: {results[name]}")
    per_core = results["several_tokens"]["tokens_per_s_per_core"]
    print(f"tokens_per_s_per_core, 4 tokens an event: {per_core}")


if __name__ == "__main__":
    asyncio.run(_main())
