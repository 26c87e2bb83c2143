"""Small accounts under the bursts of a large one, through real processes.

Three nodes, stand-in engines with few slots and four accounts; each set of
policies runs once on the same arrivals. Run with
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
MODEL = "drafts"
ENGINES = 6
SLOTS = 12
TOKENS = 25
BETWEEN_TOKENS_MS = 32
DURATION_S = 12.0
#: Requests per second: a slot is held for about 0.82 s, so a share of a
#: quarter is 22 requests per second.
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
class Site:
    """The processes of one run."""

    folder: pathlib.Path
    policies: dict[str, str]
    processes: processes.Processes
    entries: tuple[str, ...] = ()

    async def start(self) -> None:
        """Starts nodes and engines and waits until every replica serves."""
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
        for index in range(ENGINES):
            await self.processes.start(f"e{index}", *_engine(index, files))
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
                serving = 0
                while serving < ENGINES:
                    await asyncio.sleep(POLL_INTERVAL_S)
                    serving = await _serving(session, url)


async def _serving(session: aiohttp.ClientSession, url: str) -> int:
    async with session.get(url) as response:
        replicas = await response.json()
    return sum(replica["state"] == "serving" for replica in replicas)


def _engine(index: int, files: _files.Files) -> Iterator[str]:
    yield "standins.engine"
    yield f"--id=e{index}"
    yield f"--instance=i{index}"
    yield f"--failure-domain={_files.DOMAINS[index % 3]}"
    yield f"--fabric-domain=f{index}"
    yield f"--entries={','.join(files.entries[:2])}"
    yield "--first-token-ms=20"
    yield f"--between-tokens-ms={BETWEEN_TOKENS_MS}"
    yield f"--concurrency={SLOTS}"


def _declarations() -> dict[str, Any]:
    service = {
        "name": MODEL,
        "version": "v1",
        "replicas": ENGINES,
        "replicas_floor": 1,
        "instances_per_replica": 1,
        "concurrency_per_replica": SLOTS,
        "tokens_per_s_per_replica": SLOTS * 1_000 // BETWEEN_TOKENS_MS,
    }
    accounts = [
        {"name": name, "key_sha256s": [_files.sha256(name)], "share": 10}
        for name in RATES_PER_S
    ]
    return {"model_services": [service], "client_accounts": accounts}


async def _load(site: Site, account: str) -> dict[str, Any]:
    """Sends one account's requests to all entries in turn."""
    clients = [load_client.StreamClient(entry) for entry in site.entries]
    measured = load_client.Measurements()

    async def send(index: int, due_ns: int) -> None:
        client = clients[index % len(clients)]
        entry = site.entries[index % len(clients)]
        prompt = f"Draft {index} of {account}."
        request = load_tool.draft_request(entry, account, MODEL, prompt, TOKENS)
        await client.ask(request, measured, due_ns)

    seed = list(RATES_PER_S).index(account)
    load = load_tool.Load(RATES_PER_S[account], DURATION_S, seed)
    await load_tool.run(load, send)
    for client in clients:
        client.close()
    return load_tool.summary(measured)


async def _run(name: str) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="lagooncrank-bench-") as folder:
        path = pathlib.Path(folder)
        running = processes.Processes(path)
        site = Site(path, POLICIES[name], running)
        try:
            await site.start()
            loads = [_load(site, account) for account in RATES_PER_S]
            figures = await asyncio.gather(*loads)
        finally:
            await running.kill_all()
    return dict(zip(RATES_PER_S, figures, strict=True))


async def _main() -> None:
    results = {name: await _run(name) for name in POLICIES}
    rows = {
        f"{name} {account}": figures
        for name, accounts in results.items()
        for account, figures in accounts.items()
    }
    print(load_tool.table(rows))
    for name, accounts in results.items():
        tokens = sum(figures["tokens"] for figures in accounts.values())
        print(f"{name}: {tokens / DURATION_S:.0f} tokens/s")
    RESULTS.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    asyncio.run(_main())
