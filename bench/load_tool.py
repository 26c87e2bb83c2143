"""Open-loop load on an entry: streams completions and reports percentiles.

Requests arrive as a Poisson process with a fixed seed, regardless of whether
earlier requests have finished. Latencies are measured from the scheduled
arrival, so that a delay in sending a request counts.

Run: python -m bench.load_tool --entry IP:PORT --key KEY --model NAME
"""

import argparse
import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import dataclasses
import json
import random
import time
from typing import Any

from bench import load_client

NS_PER_S = 1_000_000_000
PERCENTILES = (50.0, 95.0, 99.0)
US_PER_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Rate and duration of a load."""

    requests_per_s: float
    duration_s: float
    seed: int = 1

    def arrivals_ns(self) -> Iterator[int]:
        """Yields the arrival times, relative to the start of the run."""
        rng = random.Random(self.seed)
        at_s = rng.expovariate(self.requests_per_s)
        while at_s < self.duration_s:
            yield int(at_s * NS_PER_S)
            at_s += rng.expovariate(self.requests_per_s)


#: Sends one request, given its number and the time in nanoseconds at which it
#: is due.
Sender = Callable[[int, int], Coroutine[Any, Any, None]]


async def run(load: Load, send: Sender) -> float:
    """Sends every request of a load and waits for all responses.

    Returns:
        Seconds from the start of the run to the end of the last response.
    """
    start_ns = time.perf_counter_ns()
    tasks: list[asyncio.Task[None]] = []
    for index, arrival_ns in enumerate(load.arrivals_ns()):
        due_ns = start_ns + arrival_ns
        wait_ns = due_ns - time.perf_counter_ns()
        if wait_ns > 0:
            await asyncio.sleep(wait_ns / NS_PER_S)
        tasks.append(asyncio.create_task(send(index, due_ns)))
    await asyncio.gather(*tasks)
    return (time.perf_counter_ns() - start_ns) / NS_PER_S


def summary(measurements: load_client.Measurements) -> dict[str, Any]:
    """Returns the latency percentiles and counts of a run."""
    histograms = {
        "first_token_ms": measurements.first_token_us,
        "between_tokens_ms": measurements.between_tokens_us,
        "whole_ms": measurements.total_us,
    }
    figures: dict[str, Any] = {
        name: {
            f"p{percentile:g}": round(
                values.get_value_at_percentile(percentile) / US_PER_MS, 3
            )
            for percentile in PERCENTILES
        }
        for name, values in histograms.items()
    }
    return figures | {
        "answers": measurements.responses,
        "tokens": measurements.tokens,
    }


def table(rows: dict[str, dict[str, Any]]) -> str:
    """Returns a Markdown table with one row per summary."""
    lines = [
        "| run | first token p50/p95/p99 ms | between tokens p50/p95/p99 ms "
        "| answers |",
        "| --- | --- | --- | --- |",
    ]
    for name, figures in rows.items():
        first = _format_percentiles(figures["first_token_ms"])
        between = _format_percentiles(figures["between_tokens_ms"])
        lines.append(f"| {name} | {first} | {between} | {figures['answers']} |")
    return "\n".join(lines)


def completion_request(
    entry: str, key: str, model: str, prompt: str, tokens: int
) -> load_client.Request:
    """Returns a streaming completion request."""
    body = {
        "model": model,
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": True,
    }
    path = "/v1/completions"
    return load_client.Request.build(entry, path, body, tokens, key)


def _format_percentiles(percentiles: dict[str, float]) -> str:
    return " / ".join(f"{value:.2f}" for value in percentiles.values())


async def _main(arguments: argparse.Namespace) -> None:
    client = load_client.StreamClient(arguments.entry)
    measurements = load_client.Measurements()

    async def send(index: int, due_ns: int) -> None:
        request = completion_request(
            arguments.entry,
            arguments.key,
            arguments.model,
            f"Draft number {index}.",
            arguments.tokens,
        )
        await client.send_request(request, measurements, due_ns)

    load = Load(arguments.rate, arguments.seconds, arguments.seed)
    elapsed_s = await run(load, send)
    client.close()
    figures = summary(measurements) | {"duration_s": round(elapsed_s, 2)}
    if arguments.json:
        print(json.dumps(figures, indent=1))
    else:
        print(table({"load": figures}))


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entry", required=True, help="ip:port")
    parser.add_argument(
        "--key", required=True, help="bearer token of a client account"
    )
    parser.add_argument(
        "--model", required=True, help="name of the model service"
    )
    parser.add_argument(
        "--rate", type=float, default=20.0, help="requests per second"
    )
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--tokens", type=int, default=50)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    return parser.parse_args()


if __name__ == "__main__":
    asyncio.run(_main(_parse_arguments()))
