"""Runs one case of the review against a small deployment."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import sys
import traceback
from typing import Any
from typing import Final

import aiohttp

from review.common import deployment
from review.common import stand_ins

HELD: Final = 0
BROKEN: Final = 1
COULD_NOT_RUN: Final = 2
#: Longest duration of a script, with some seconds for the end of its processes.
TIMEOUT_S: Final = 100.0


class Play:
    """A deployment with its stand-ins, for the length of one case."""

    def __init__(
        self, record: deployment.Record, session: aiohttp.ClientSession
    ) -> None:
        self.record = record
        self.session = session
        self.system = deployment.Deployment(record)
        self.operator = stand_ins.Operator(self.system, session)
        self.caller = stand_ins.Caller(self.system, session)
        self.servers: list[stand_ins.BackendServer] = []

    async def add_engines(self, count: int, domain: str = "d1") -> None:
        """Starts engines of the service `writers` in one fabric domain."""
        for _ in range(count):
            server_id = f"i-{len(self.servers):04x}"
            await self.add(
                stand_ins.BackendServer(
                    self.system, self.session, server_id, "writers", domain
                )
            )

    async def add(self, server: Any) -> None:
        """Starts a backend server."""
        self.servers.append(server)
        await server.start()

    def open_heads(self) -> list[stand_ins.BackendServer]:
        """Returns the engines whose groups are open."""
        return [
            s for s in self.servers if s.group and s.group["state"] == "open"
        ]

    async def wait_for_heads(self, count: int) -> bool:
        """Waits until some groups are open; returns whether they are."""
        return await stand_ins.wait_until(
            lambda: len(self.open_heads()) == count
        )

    async def stop(self) -> None:
        """Ends everything that was started."""
        for server in self.servers:
            await server.stop()
        await self.system.stop()


def run(
    script: str,
    play_case: Callable[[Play], Awaitable[int]],
) -> None:
    """Runs a case and exits: 0 if the rule held, 1 if not, 2 without a result.

    Args:
        script: Path of the case's script; the record is written beside it.
        play_case: Plays the case and returns the exit status.
    """
    record_file = pathlib.Path(script).with_name("record.txt")
    try:
        status = asyncio.run(_run(record_file, play_case))
    except Exception:
        traceback.print_exc()
        status = COULD_NOT_RUN
    sys.stdout.flush()
    sys.exit(status)


async def _run(
    record_file: pathlib.Path, play_case: Callable[[Play], Awaitable[int]]
) -> int:
    record = deployment.Record(record_file)
    status = COULD_NOT_RUN
    async with aiohttp.ClientSession() as session:
        play = Play(record, session)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                status = await play_case(play)
        except Exception:
            # A case that failed to run shows nothing about the rule.
            traceback.print_exc()
        finally:
            await play.stop()
    record.write(f"exit status {status}")
    return status
