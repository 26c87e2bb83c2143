"""Runs the whole system on loopback and demonstrates its main functions.

Starts three daemons in three failure domains, applies declarations with the
command-line tool, and starts two replicas of two stand-in engines each and a
stand-in plain service. Then requests a streamed completion, and sends one
booking twice with the same idempotency key.
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
from standins import ports
from standins import processes

PROMPT = "Route sketch and cost of a gas connection for a bakery in Giza."
COMPLETION_TOKENS = 24
CLI = "lagooncrank.cli"


class DemoError(Exception):
    """The system did not behave as the demo expects."""


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
        self._booking_address = ports.free_addresses(1)[0]

    async def run(self) -> None:
        """Runs every step, then stops every process."""
        await self._start_nodes()
        await self._apply_declarations()
        await self._start_backend_servers()
        entry = await self._look_up_entries()
        await self._complete(entry)
        await self._book_twice()
        await self._stop()

    async def _start_nodes(self) -> None:
        for path in self._files.settings:
            name = path.stem
            await self._processes.start(name, "lagooncrank.server", str(path))
        for entry in self._files.entries:
            await self._caller.wait_until_healthy(entry, 503)
        _report(
            f"{len(_files.DOMAINS)} nodes are running: "
            f"{_join(self._files.entries)}"
        )

    async def _apply_declarations(self) -> None:
        options = [f"--entry={entry}" for entry in self._files.entries]
        output = await self._processes.run(
            CLI,
            "apply",
            str(self._files.declarations),
            *options,
            f"--key-file={self._files.operator_key}",
            "--author=demo",
            "--wait",
        )
        _report(f"lagooncrank apply: {output.splitlines()[-1]}")

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
        _report(f"{_files.REPLICAS} replicas are serving")

    async def _look_up_entries(self) -> str:
        domain = _files.DOMAINS[1]
        known_entry = self._files.entries[0]
        entries = await self._caller.entries(known_entry, domain)
        _report(f"entries for a caller in {domain}: {_join(entries)}")
        _check(
            len(entries) == len(self._files.entries), "all entries are listed"
        )
        _check(
            entries[0] == self._files.entries[1],
            "the entry in the caller's failure domain is listed first",
        )
        return entries[0]

    async def _complete(self, entry: str) -> None:
        text = await self._caller.complete(entry, PROMPT, COMPLETION_TOKENS)
        expected = _tokens.answer(f"user: {PROMPT}", COMPLETION_TOKENS)
        _check(text == expected, "the completion has every token, in order")
        _report(f"completion of {COMPLETION_TOKENS} tokens: {text.strip()}")

    async def _book_twice(self) -> None:
        first_entry, second_entry = (
            self._files.entries[0],
            self._files.entries[2],
        )
        first = await self._caller.book(first_entry, "visit-1", "Monday 9:00")
        second = await self._caller.book(second_entry, "visit-1", "Monday 9:00")
        run_counts = await self._caller.run_counts(self._booking_address)
        _check(run_counts == {"visit-1": 1}, "the service ran the booking once")
        _check(first.body == second.body, "both responses have the same body")
        _check(
            second.replayed and not first.replayed,
            "only the second response is marked as replayed",
        )
        _report(f"booking through {first_entry}: {first.status} {first.body}")
        _report(
            f"retry through {second_entry}: stored response, runs {run_counts}"
        )

    async def _stop(self) -> None:
        names = self._processes.names()
        stops = [self._processes.stop(name) for name in names]
        statuses = await asyncio.gather(*stops)
        for name, status in zip(names, statuses, strict=True):
            _check(status == 0, f"{name} exits with status 0, not {status}")
        _report("every process exited with status 0")


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


def _join(addresses: list[str] | tuple[str, ...]) -> str:
    return ", ".join(addresses)


def _report(line: str) -> None:
    print(line, flush=True)


def _check(is_met: bool, expectation: str) -> None:
    if not is_met:
        raise DemoError(f"expectation not met: {expectation}")


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
