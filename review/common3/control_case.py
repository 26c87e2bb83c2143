"""What the cases about the control machines share."""

import asyncio
import os
import pathlib
import signal
import sys
import time
from typing import TextIO

from review.common3 import deployment

#: Time for which a successor runs before anything else is changed; longer than
#: the `catch_up_s` of the pages (4 s), so that it does not count as lost.
CATCH_UP_S = 5.0
#: Exit code of a case that could not be played.
COULD_NOT_RUN = 2
#: Time in which the system, whose manifest is acknowledged, is left alone.
SETTLE_S = 4.0


class ControlCase:
    """Three control machines, and a record of what is done and seen."""

    #: For how long manifest 2 may fail to be read back before the rule counts
    #: as broken; over twice `recovery_s` (12 s).
    read_back_s = 30.0

    def __init__(self, record: TextIO) -> None:
        self._record = record
        self._began_s = time.monotonic()
        self.has_trouble = os.environ.get("TROUBLE") != "0"
        self.system = deployment.Deployment(controls=3, entries=1)
        self.old = [f"control{number}" for number in range(3)]
        self.leader = ""

    def note(self, text: str) -> None:
        """Writes a line into the record."""
        passed_s = time.monotonic() - self._began_s
        print(f"{passed_s:7.2f} s  {text}", file=self._record, flush=True)

    async def run(self) -> bool:
        """Plays the case; returns whether the rule held."""
        try:
            await self._start()
            await self.play()
            return await self.judge()
        finally:
            self.system.stop()

    async def play(self) -> None:
        """Does what the case is about, up to the last loss."""
        raise NotImplementedError

    async def _start(self) -> None:
        self.system.start()
        await self.system.put(deployment.manifest(1))
        await self.system.wait_until_ready()
        self.note("manifest 1 is acknowledged")
        await asyncio.sleep(SETTLE_S)
        self.leader = self.system.leader()
        if self.leader not in self.old:
            raise TimeoutError("no control machine leads")
        self.note(f"{self.leader} leads")

    async def add_control(self, *seeds: str) -> str:
        """Starts a control machine with an empty disk.

        Args:
            *seeds: Its seeds; three machines of the list if there are none.

        Returns:
            Its name.
        """
        name = self.system.add_control(seeds)
        self.system.processes[name].start()
        of_seeds = f", with the seeds {', '.join(seeds)}" if seeds else ""
        self.note(f"{name}, with an empty disk, is started{of_seeds}")
        return name

    async def remove(self, name: str) -> None:
        """Ends a machine with SIGTERM, for good."""
        await self.system.terminate(name)
        self.system.removed.add(name)
        self.note(f"{name} has ended after SIGTERM, for good")

    def kill(self, name: str) -> None:
        """Kills a machine for good."""
        self.system.processes[name].kill()
        self.system.removed.add(name)
        self.note(f"{name} is killed, for good")

    async def restart(self, name: str, down_s: float) -> None:
        """Kills a machine, and starts it again later with its disk."""
        self.system.processes[name].kill()
        self.note(f"{name} is killed")
        await asyncio.sleep(down_s)
        self.system.processes[name].start()
        self.note(f"{name} is started again, with its disk")

    async def acknowledge(self) -> None:
        """Sends manifest 2 until it is acknowledged, and reads it back."""
        await self.system.put(deployment.manifest(2))
        self.note("manifest 2 is acknowledged")
        self.note(f"read back: {await self.system.read()}")

    async def judge(self) -> bool:
        """Returns whether manifest 2 is read back in time."""
        end_s = time.monotonic() + self.read_back_s
        while time.monotonic() < end_s:
            versions = await self.system.read()
            self.note(f"read back: {versions}")
            if 2 in versions.values():
                return True
            await asyncio.sleep(2)
        return False


def main(case_type: type[ControlCase], module_file: str) -> int:
    """Runs a case; returns the exit code of its script."""
    # A script that is stopped early ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    path = pathlib.Path(module_file).with_name("record.txt")
    with path.open("w") as record:
        try:
            held = asyncio.run(case_type(record).run())
        except (OSError, TimeoutError) as error:
            print(f"the case couldn't run: {error!r}", file=record)
            return COULD_NOT_RUN
        print("the rule held" if held else "the rule is broken", file=record)
    return 0 if held else 1


def exit_with(case_type: type[ControlCase], module_file: str) -> None:
    """Runs a case, and ends the process with its exit code."""
    sys.exit(main(case_type, module_file))
