"""Starts and stops processes of the system and of stand-ins."""

import asyncio
import pathlib
import signal
import sys

STOP_TIMEOUT_S = 20.0


class Processes:
    """Every process that one run started, with a log file for each."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._running: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, name: str, module: str, *arguments: str) -> None:
        """Starts `python -m module` in the background."""
        log = self.log_path(name).open("wb")
        with log:
            self._running[name] = await asyncio.create_subprocess_exec(
                sys.executable, "-m", module, *arguments, stdout=log, stderr=log
            )

    async def run(self, module: str, *arguments: str) -> str:
        """Runs `python -m module` to its end and returns what it printed.

        Raises:
            RuntimeError: The command failed.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        text = output.decode().strip()
        if process.returncode != 0:
            command = " ".join((module, *arguments))
            raise RuntimeError(f"{command} failed: {text}")
        return text

    async def stop(self, name: str) -> int:
        """Sends SIGTERM, waits for the end and returns the exit status."""
        process = self._running.pop(name)
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await process.wait()

    async def kill_all(self) -> None:
        """Kills what is left and waits for its end."""
        for process in self._running.values():
            if process.returncode is None:
                process.kill()
            await process.wait()

    def pid(self, name: str) -> int:
        """Returns the process id of a running process."""
        return self._running[name].pid

    def names(self) -> tuple[str, ...]:
        """Returns the names of the running processes."""
        return tuple(self._running)

    def log_path(self, name: str) -> pathlib.Path:
        """Returns the file that holds a process's output."""
        return self._folder / f"{name}.log"
