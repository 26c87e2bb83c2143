"""Replaces two control machines, after their successors have caught up.

Exits with 1 if the acknowledged manifest can't be read back any more.
"""

import asyncio
import os
import pathlib
import signal
import sys
import time

from review.common3 import deployment

#: Time for which a successor runs before anything else is changed; longer than
#: the `catch_up_s` of the pages (4 s), so that it does not count as lost.
CATCH_UP_S = 5.0
#: Time between the two SIGTERMs.
GAP_S = 2.0
#: `recovery_s` of the pages, twice and more.
READ_BACK_S = 40.0
RECORD = pathlib.Path(__file__).with_name("record.txt")


def manifest(version: int) -> dict[str, object]:
    """Returns a manifest with one route."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r1",
                "hostname": "a.example",
                "path_prefix": "/a/",
                "type": "non_idempotent",
                "timeout_ms": 800,
                "service": "desk",
            }
        ],
        "services": [{"name": "desk", "health_path": "/h"}],
        "limits": {},
        "tenants": [],
    }


async def run(record) -> bool:
    """Plays the case; returns whether the rule held."""
    has_trouble = os.environ.get("TROUBLE") != "0"
    system = deployment.Deployment(controls=3, entries=1)
    began = time.monotonic()

    def note(text: str) -> None:
        print(f"{time.monotonic() - began:7.2f} s  {text}", file=record)

    try:
        system.start()
        await system.put(manifest(1))
        note("manifest 1 is acknowledged")
        await system.wait_until_ready()
        await asyncio.sleep(4)
        for _ in range(2):
            successor = system.add_control()
            system.processes[successor].start()
            note(f"{successor}, a successor with an empty disk, is started")
            await asyncio.sleep(CATCH_UP_S)
        note(f"read back: {await system.read()}")
        if has_trouble:
            await stop(system.processes["control2"])
            note("control2 has ended after SIGTERM, for good")
            await asyncio.sleep(GAP_S)
            await stop(system.processes["control1"])
            note("control1 has ended after SIGTERM, for good")
        return await read_back(system, note)
    finally:
        system.stop()


async def stop(process: deployment.Process) -> None:
    """Sends SIGTERM to a process, and waits until it has ended."""
    process.signal(signal.SIGTERM)
    while process.exit_code is None:
        await asyncio.sleep(0.02)


async def read_back(system: deployment.Deployment, note) -> bool:
    """Returns whether manifest 2 is taken and read back."""
    end = time.monotonic() + READ_BACK_S
    acknowledged = asyncio.create_task(system.put(manifest(2), READ_BACK_S))
    while time.monotonic() < end:
        versions = await system.read()
        note(f"read back: {versions}; manifest 2 acknowledged: {acknowledged.done()}")
        if 2 in versions.values():
            await asyncio.gather(acknowledged, return_exceptions=True)
            return True
        await asyncio.sleep(2)
    await asyncio.gather(acknowledged, return_exceptions=True)
    return False


def main() -> int:
    """Runs the case; returns the exit code of the script."""
    with RECORD.open("w") as record:
        try:
            held = asyncio.run(run(record))
        except (OSError, TimeoutError) as error:
            print(f"the case couldn't run: {error!r}", file=record)
            return 2
        print("the rule held" if held else "the rule is broken", file=record)
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
