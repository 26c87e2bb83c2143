"""Compares policies for small accounts beside a large one, in real processes.

Three nodes serve four accounts with simulated engines that have few slots. Each
set of policies runs once, with the same arrivals. Run with
`python -m bench.fairness_processes`; writes
`bench/results/fairness_processes.json`.
"""

import asyncio
from collections.abc import Iterator
import dataclasses
import json
import pathlib
import tempfile
from typing import Any

import aiohttp
import yaml

from bench import load_client
from bench import load_tool
from demo import _caller
from demo import _files
from standins import processes

RESULTS = (
    pathlib.Path(__file__).with_name("results") / "fairness_processes.json"
)
MODEL_NAME = "drafts"
ENGINE_COUNT = 6
SLOTS_PER_ENGINE = 12
TOKENS_PER_REQUEST = 25
BETWEEN_TOKENS_MS = 32
DURATION_S = 12.0
#: Requests per second. A request uses a slot for about 0.82 s, so a quarter of
#: all slots serves 22 requests per second.
RATES_PER_S = {"small-1": 11.0, "small-2": 11.0, "small-3": 11.0, "large": 220}
READY_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.2
POLICIES = {
    "naive": {
        "admission": "first_come",
        "router": "round_robin",
        "retry": "always",
        "suspicion": "none",
    },
    "ours": {},
}


@dataclasses.dataclass(slots=True)
class LocalCluster:
    """Node and engine processes of one run.

    Attributes:
        folder: Where the processes have their files.
        policies: Names of the policies in the nodes' settings.
        processes: Starts and ends the processes.
        entries: Addresses of the entries.
    """

    folder: pathlib.Path
    policies: dict[str, str]
    processes: processes.Processes
    entries: tuple[str, ...] = ()

    async def start(self) -> None:
        """Starts nodes and engines and waits until all replicas are serving."""
        files = _files.Files.write_to(self.folder)
        self.entries = files.entries
        declarations = yaml.safe_dump(_declarations())
        files.declarations.write_text(declarations)
        for path in files.settings:
            settings = yaml.safe_load(path.read_text())
            settings |= {"policies": self.policies, "log_level": "ERROR"}
            path.write_text(yaml.safe_dump(settings))
            name = path.stem
            await self.processes.start(name, "lagooncrank.server", str(path))
        for index in range(ENGINE_COUNT):
            await self.processes.start(
                f"e{index}", *_engine_arguments(index, files)
            )
        async with aiohttp.ClientSession() as session:
            caller = _caller.Caller(session)
            for entry in self.entries:
                await caller.wait_until_healthy(entry, 503)
        await self._apply(files)
        async with asyncio.timeout(READY_TIMEOUT_S):
            await self._wait_until_serving()

    async def _apply(self, files: _files.Files) -> None:
        options = [f"--entry={entry}" for entry in files.entries]
        await self.processes.run(
            "lagooncrank.cli",
            "apply",
            str(files.declarations),
            *options,
            f"--key-file={files.operator_key}",
            "--author=bench",
            "--wait",
        )

    async def _wait_until_serving(self) -> None:
        headers = {"Authorization": f"Bearer {_files.OPERATOR_KEY}"}
        async with aiohttp.ClientSession(headers=headers) as session:
            for entry in self.entries:
                url = f"http://{entry}/v1/replicas"
                serving_replicas = 0
                while serving_replicas < ENGINE_COUNT:
                    await asyncio.sleep(POLL_INTERVAL_S)
                    serving_replicas = await _count_serving(session, url)


async def _count_serving(session: aiohttp.ClientSession, url: str) -> int:
    async with session.get(url) as response:
        replicas = await response.json()
    return sum(replica["state"] == "serving" for replica in replicas)


def _engine_arguments(index: int, files: _files.Files) -> Iterator[str]:
    yield "standins.engine"
    yield f"--id=e{index}"
    yield f"--instance=i{index}"
    yield f"--failure-domain={_files.DOMAINS[index % 3]}"
    yield f"--fabric-domain=f{index}"
    yield f"--entries={','.join(files.entries[:2])}"
    yield "--first-token-ms=20"
    yield f"--between-tokens-ms={BETWEEN_TOKENS_MS}"
    yield f"--concurrency={SLOTS_PER_ENGINE}"


def _declarations() -> dict[str, Any]:
    service = {
        "name": MODEL_NAME,
        "version": "v1",
        "replicas": ENGINE_COUNT,
        "replicas_floor": 1,
        "instances_per_replica": 1,
        "concurrency_per_replica": SLOTS_PER_ENGINE,
        "tokens_per_s_per_replica": SLOTS_PER_ENGINE
        * 1_000
        // BETWEEN_TOKENS_MS,
    }
    accounts = [
        {"name": name, "key_sha256s": [_files.sha256(name)], "share": 10}
        for name in RATES_PER_S
    ]
    return {"model_services": [service], "client_accounts": accounts}


async def _send_load(cluster: LocalCluster, account: str) -> dict[str, Any]:
    """Sends one account's requests to the entries in turn.

    Returns:
        Summary of the measurements.
    """
    clients = [load_client.StreamClient(entry) for entry in cluster.entries]
    measured = load_client.Measurements()

    async def send(index: int, due_ns: int) -> None:
        client = clients[index % len(clients)]
        entry = cluster.entries[index % len(clients)]
        prompt = f"Draft {index} of {account}."
        request = load_tool.completion_request(
            entry, account, MODEL_NAME, prompt, TOKENS_PER_REQUEST
        )
        await client.send_request(request, measured, due_ns)

    seed = list(RATES_PER_S).index(account)
    load = load_tool.Load(RATES_PER_S[account], DURATION_S, seed)
    await load_tool.run(load, send)
    for client in clients:
        client.close()
    return load_tool.summary(measured)


async def _run_policies(name: str) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="lagooncrank-bench-") as folder:
        path = pathlib.Path(folder)
        started = processes.Processes(path)
        cluster = LocalCluster(path, POLICIES[name], started)
        try:
            await cluster.start()
            loads = [_send_load(cluster, account) for account in RATES_PER_S]
            summaries = await asyncio.gather(*loads)
        finally:
            await started.kill_all()
    return dict(zip(RATES_PER_S, summaries, strict=True))


async def _main() -> None:
    results = {name: await _run_policies(name) for name in POLICIES}
    rows = {
        f"{name} {account}": summary
        for name, accounts in results.items()
        for account, summary in accounts.items()
    }
    print(load_tool.table(rows))
    for name, accounts in results.items():
        tokens = sum(summary["tokens"] for summary in accounts.values())
        print(f"{name}: {tokens / DURATION_S:.0f} tokens/s")
    RESULTS.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    asyncio.run(_main())
