"""Runs the whole system on loopback and shows the main job.

Three daemons in three failure domains, two replicas of two stand-in engines
and a stand-in plain service; declarations applied with the command-line tool;
a streamed draft; one booking made twice with the same key.
"""

import asyncio
from collections.abc import Iterator
import pathlib
import sys
import tempfile

import aiohttp

from demo import _caller
from demo import _files
from standins import _tokens
from standins import processes

PROMPT = "Route sketch and cost of a gas connection for a bakery in Giza."
DRAFT_TOKENS = 24
CLI = "lagooncrank.cli"


class DemoError(Exception):
    """The system did not do what the demo shows."""


class Demo:
    """One run of the demo."""

    def __init__(
        self,
        files: _files.Files,
        running: processes.Processes,
        caller: _caller.Caller,
    ) -> None:
        self._files = files
        self._processes = running
        self._caller = caller
        self._booking_address = _files.free_addresses(1)[0]

    async def run(self) -> None:
        """Shows every step, then stops every process."""
        await self._start_nodes()
        await self._apply()
        await self._start_backend_servers()
        entry = await self._ask_for_entries()
        await self._draft(entry)
        await self._book_twice()
        await self._stop()

    async def _start_nodes(self) -> None:
        for path in self._files.settings:
            name = path.stem
            await self._processes.start(name, "lagooncrank.server", str(path))
        for entry in self._files.entries:
            await self._caller.wait_until_healthy(entry, 503)
        _say(f"{len(_files.DOMAINS)} nodes run: {_list(self._files.entries)}")

    async def _apply(self) -> None:
        options = [f"--entry={entry}" for entry in self._files.entries]
        printed = await self._processes.run(
            CLI,
            "apply",
            str(self._files.declarations),
            *options,
            f"--key-file={self._files.operator_key}",
            "--author=demo",
            "--wait",
        )
        _say(f"lagooncrank apply: {printed.splitlines()[-1]}")

    async def _start_backend_servers(self) -> None:
        entries = ",".join(self._files.entries[:2])
        for options in _engine_options():
            name = options[0]
            await self._processes.start(
                name,
                "standins.engine",
                f"--id={name}",
                *options[1:],
                f"--entries={entries}",
            )
        port = self._booking_address.rpartition(":")[2]
        await self._processes.start(
            "booking",
            "standins.plain_service",
            "--id=booking",
            "--instance=ib",
            f"--failure-domain={_files.DOMAINS[0]}",
            f"--serves={_files.BOOKING}",
            f"--port={port}",
            f"--entries={entries}",
        )
        for entry in self._files.entries:
            await self._caller.wait_until_healthy(entry, 200)
            await self._caller.wait_until_serving(entry, _files.REPLICAS)
            count = len(self._files.entries)
            await self._caller.wait_until_listed(entry, count)
        _say(f"{_files.REPLICAS} replicas serve")

    async def _ask_for_entries(self) -> str:
        domain = _files.DOMAINS[1]
        known = self._files.entries[0]
        entries = await self._caller.entries(known, domain)
        _say(f"entries for a caller in {domain}: {_list(entries)}")
        _expect(len(entries) == len(self._files.entries), "all entries listed")
        _expect(entries[0] == self._files.entries[1], "own domain first")
        return entries[0]

    async def _draft(self, entry: str) -> None:
        text = await self._caller.draft(entry, PROMPT, DRAFT_TOKENS)
        expected = _tokens.answer(f"user: {PROMPT}", DRAFT_TOKENS)
        _expect(text == expected, "the whole draft, in order")
        _say(f"draft of {DRAFT_TOKENS} tokens: {text.strip()}")

    async def _book_twice(self) -> None:
        first_entry, second_entry = (
            self._files.entries[0],
            self._files.entries[2],
        )
        first = await self._caller.book(first_entry, "visit-1", "Monday 9:00")
        again = await self._caller.book(second_entry, "visit-1", "Monday 9:00")
        runs = await self._caller.runs(self._booking_address)
        _expect(runs == {"visit-1": 1}, "one run at the service")
        _expect(first.body == again.body, "the same answer")
        _expect(again.replayed and not first.replayed, "the repeat is marked")
        _say(f"booking through {first_entry}: {first.status} {first.body}")
        _say(f"again through {second_entry}: stored answer, runs {runs}")

    async def _stop(self) -> None:
        names = self._processes.names()
        stops = [self._processes.stop(name) for name in names]
        statuses = await asyncio.gather(*stops)
        for name, status in zip(names, statuses, strict=True):
            _expect(status == 0, f"{name} stops with status 0, not {status}")
        _say("every process stopped with status 0")


def _engine_options() -> Iterator[list[str]]:
    for replica in range(_files.REPLICAS):
        domain = _files.DOMAINS[replica]
        for member in range(_files.INSTANCES_PER_REPLICA):
            name = f"engine-{replica}-{member}"
            yield [
                name,
                f"--instance=i{replica}{member}",
                f"--failure-domain={domain}",
                f"--fabric-domain=fabric-{replica}",
            ]


def _list(addresses: list[str] | tuple[str, ...]) -> str:
    return ", ".join(addresses)


def _say(line: str) -> None:
    print(line, flush=True)


def _expect(holds: bool, what: str) -> None:
    if not holds:
        raise DemoError(f"not so: {what}")


async def _main(folder: pathlib.Path) -> None:
    running = processes.Processes(folder)
    timeout = aiohttp.ClientTimeout(total=30)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            files = _files.Files.write_to(folder)
            caller = _caller.Caller(session)
            await Demo(files, running, caller).run()
    finally:
        for name in running.names():
            print(f"--- {name}", file=sys.stderr)
            print(running.log_path(name).read_text(), file=sys.stderr)
        await running.kill_all()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory(prefix="lagooncrank-demo-") as name:
        asyncio.run(_main(pathlib.Path(name)))
