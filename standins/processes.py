"""Starts and stops Python programs as child processes."""

import asyncio
import pathlib
import signal
import sys

STOP_TIMEOUT_S = 20.0


class Processes:
    """Child processes by name, each with a log file.

    Args:
        folder: Folder for the log files.
    """

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
        """Runs `python -m module` until it exits and returns its output.

        Raises:
            RuntimeError: The exit status is not 0.
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
        """Sends SIGTERM, waits for the exit and returns the exit status.

        Raises:
            TimeoutError: The process did not exit in time.
        """
        process = self._running.pop(name)
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await process.wait()

    async def kill_all(self) -> None:
        """Kills the processes that were not stopped and waits for them."""
        for process in self._running.values():
            if process.returncode is None:
                process.kill()
            await process.wait()

    def pid(self, name: str) -> int:
        """Returns the process id of a process that was not stopped."""
        return self._running[name].pid

    def names(self) -> tuple[str, ...]:
        """Returns the names of the processes that were not stopped."""
        return tuple(self._running)

    def log_path(self, name: str) -> pathlib.Path:
        """Returns the file with the output of a process."""
        return self._folder / f"{name}.log"
