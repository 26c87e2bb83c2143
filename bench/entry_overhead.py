"""Measures the latency that an entry adds and the resources that it uses.

- Latency: in one run, each request is sent to an engine directly or through
  the entry, at random with a fixed seed. The difference is the added latency.
- Processor time: a run with short responses and a run with long responses
  together give the cost of a request and of a relayed token.
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
#: Targets: five times the load of one node in the capacity plan.
TARGET_REQUESTS_PER_S = 180
TARGET_TOKENS_PER_S = 40_000
LATENCY_LOAD = load_tool.Load(20.0, 10.0, SEED)
LATENCY_TOKENS = 20
#: Many short responses, so that the cost of a request dominates.
REQUEST_LOAD = load_tool.Load(180.0, 8.0, SEED)
REQUEST_TOKENS = 2
#: Concurrent streams while the cost of a token is measured.
TOKEN_STREAMS = 600
TOKEN_STREAM_TOKENS = 200
#: Tokens per event of engines that generate several tokens per step.
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
        """Returns the values for the results file."""
        return {
            "requests": self.requests,
            "tokens": self.tokens,
            "wall_s": round(self.wall_s, 2),
            "cpu_s": round(self.cpu_s, 2),
            "core_fraction": round(self.cpu_s / self.wall_s, 3),
        }


class OverheadBench:
    """Measurements against one running cluster."""

    def __init__(self, cluster: load_cluster.LoadCluster) -> None:
        self._cluster = cluster
        self._entry = load_client.StreamClient(cluster.entry)

    async def measure_latency(self) -> dict[str, dict[str, Any]]:
        """Measures direct requests and requests through the entry."""
        rng = random.Random(SEED)
        direct_measurements = load_client.Measurements()
        entry_measurements = load_client.Measurements()
        clients = [
            load_client.StreamClient(engine.address)
            for engine in self._cluster.engines
        ]

        async def send(index: int, due_ns: int) -> None:
            if rng.random() < 0.5:
                await self._send_to_entry(
                    index, LATENCY_TOKENS, entry_measurements, due_ns
                )
                return
            engine_index = index % len(clients)
            request = self._engine_request(
                index, self._cluster.engines[engine_index]
            )
            await clients[engine_index].send_request(
                request, direct_measurements, due_ns
            )

        await load_tool.run(LATENCY_LOAD, send)
        for client in clients:
            client.close()
        return {
            "direct": load_tool.summary(direct_measurements),
            "entry": load_tool.summary(entry_measurements),
        }

    async def measure_request_cost(self) -> Cost:
        """Measures the processor time of many short responses."""
        measurements = load_client.Measurements()

        async def send(index: int, due_ns: int) -> None:
            await self._send_to_entry(
                index, REQUEST_TOKENS, measurements, due_ns
            )

        cpu_before_s = self._cluster.entry_cpu_s()
        wall_s = await load_tool.run(REQUEST_LOAD, send)
        used_cpu_s = self._cluster.entry_cpu_s() - cpu_before_s
        _check_all_succeeded(measurements)
        count = measurements.responses["200"]
        return Cost(count, measurements.tokens, wall_s, used_cpu_s)

    async def measure_token_cost(self) -> tuple[Cost, dict[str, Any]]:
        """Measures the processor time and latency of concurrent streams."""
        measurements = load_client.Measurements()
        cpu_before_s = self._cluster.entry_cpu_s()
        start_ns = time.perf_counter_ns()
        await asyncio.gather(
            *(
                self._send_to_entry(
                    i, TOKEN_STREAM_TOKENS, measurements, start_ns
                )
                for i in range(TOKEN_STREAMS)
            )
        )
        wall_s = (time.perf_counter_ns() - start_ns) / load_tool.NS_PER_S
        used_cpu_s = self._cluster.entry_cpu_s() - cpu_before_s
        _check_all_succeeded(measurements)
        cost = Cost(TOKEN_STREAMS, measurements.tokens, wall_s, used_cpu_s)
        return cost, load_tool.summary(measurements)

    async def measure_memory_mib(self) -> float:
        """Returns the resident memory that 1,000 open streams add."""
        bytes_before = self._cluster.entry_memory_bytes()
        measurements = load_client.Measurements()
        now_ns = time.perf_counter_ns()
        tasks = [
            asyncio.create_task(
                self._send_to_entry(i, 4_000, measurements, now_ns)
            )
            for i in range(MEMORY_STREAMS)
        ]
        while True:
            if measurements.first_token_us.get_total_count() == MEMORY_STREAMS:
                break
            await asyncio.sleep(0.1)
        added_bytes = self._cluster.entry_memory_bytes() - bytes_before
        for task in tasks:
            task.cancel()
        return added_bytes / MIB

    def close(self) -> None:
        """Closes the connections to the entry."""
        self._entry.close()

    async def _send_to_entry(
        self,
        index: int,
        tokens: int,
        measurements: load_client.Measurements,
        due_ns: int,
    ) -> None:
        request = load_tool.completion_request(
            self._cluster.entry,
            load_cluster.ACCOUNT_KEY,
            load_cluster.MODEL,
            f"{PROMPT} {index}",
            tokens,
        )
        await self._entry.send_request(request, measurements, due_ns)

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
        return load_client.Request.build(
            engine.address, path, body, LATENCY_TOKENS
        )


def _check_all_succeeded(measurements: load_client.Measurements) -> None:
    if set(measurements.responses) != {"200"}:
        raise RuntimeError(
            f"not every request succeeded; responses by status: "
            f"{measurements.responses}"
        )


def _added_latency_ms(
    latency: dict[str, dict[str, Any]], name: str
) -> dict[str, float]:
    direct = latency["direct"][name]
    entry = latency["entry"][name]
    return {p: round(entry[p] - direct[p], 3) for p in direct}


def _capacity_per_core(request: Cost, token: Cost) -> dict[str, float]:
    """Computes the costs of a request and of a token from two runs."""
    # Each run gives one equation of a linear system in the two costs:
    # cpu_s = requests * per_request_s + tokens * per_token_s.
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


async def _measure_single_token_events() -> dict[str, Any]:
    """Runs all measurements with engines that send one token per event."""
    async with _running_bench(load_cluster.EngineSettings()) as bench:
        latency = await bench.measure_latency()
        request_cost = await bench.measure_request_cost()
        token_cost, token_run = await bench.measure_token_cost()
        memory_mib = await bench.measure_memory_mib()
    return {
        "latency": latency,
        "added_first_token_ms": _added_latency_ms(latency, "first_token_ms"),
        "added_between_tokens_ms": _added_latency_ms(
            latency, "between_tokens_ms"
        ),
        "request_run": request_cost.as_row(),
        "token_run": token_cost.as_row() | {"percentiles": token_run},
        "per_core": _capacity_per_core(request_cost, token_cost),
        "memory_mib_per_1000_streams": round(memory_mib, 1),
    }


async def _measure_multi_token_events() -> dict[str, Any]:
    """Measures the token cost with engines that send several per event."""
    engine_settings = load_cluster.EngineSettings(
        tokens_per_event=TOKENS_PER_EVENT
    )
    async with _running_bench(engine_settings) as bench:
        cost, run = await bench.measure_token_cost()
    return cost.as_row() | {
        "tokens_per_event": TOKENS_PER_EVENT,
        "tokens_per_s_per_core": round(cost.tokens / cost.cpu_s),
        "percentiles": run,
    }


@contextlib.asynccontextmanager
async def _running_bench(
    engine_settings: load_cluster.EngineSettings,
) -> AsyncIterator[OverheadBench]:
    with tempfile.TemporaryDirectory(prefix="lagooncrank-bench-") as name:
        cluster = load_cluster.LoadCluster(pathlib.Path(name), engine_settings)
        try:
            await cluster.start()
            bench = OverheadBench(cluster)
            yield bench
            bench.close()
        finally:
            await cluster.stop()


async def _run_all() -> None:
    results: dict[str, Any] = {
        "seed": SEED,
        "target": {
            "requests_per_s": TARGET_REQUESTS_PER_S,
            "tokens_per_s": TARGET_TOKENS_PER_S,
        },
    }
    results |= await _measure_single_token_events()
    results["several_tokens"] = await _measure_multi_token_events()
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(results, indent=1) + "\n")
    runs = {
        "600 streams": results["token_run"]["percentiles"],
        "600 streams, 4 tokens per event": (
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
    print(f"tokens_per_s_per_core, 4 tokens per event: {per_core}")


if __name__ == "__main__":
    asyncio.run(_run_all())
