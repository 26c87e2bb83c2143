"""Control nodes and entries as processes, behind proxies."""

import asyncio
import dataclasses
import os
import pathlib
import shutil
import signal
import sys
from typing import Final

from lagooncrank_platform.tests import local_cluster
from lagooncrank_platform.tests import provider_protocol
import yaml

from soak import _proxy

PROGRAM: Final = pathlib.Path("platform") / "run.py"
STOP_GRACE_S: Final = 20.0
START_POLL_S: Final = 0.1


class StartError(Exception):
    """A process ended by itself before it listened."""

    def __init__(self, ip: str, exit_code: int, last_line: str) -> None:
        super().__init__(f"{ip} ended with {exit_code} at start: {last_line}")
        self.ip = ip
        self.exit_code = exit_code


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What all nodes of one deployment share."""

    folder: pathlib.Path
    peer_port: int
    seeds: tuple[str, ...]


class Node:
    """One process and the proxies that lead to it."""

    def __init__(self, plan: Plan, ip: str, role: str) -> None:
        self.ip = ip
        self.role = role
        self._plan = plan
        self._data = plan.folder / f"data-{ip}"
        self._log = plan.folder / f"{ip}.log"
        self._settings_file = plan.folder / f"{ip}.yaml"
        self._is_first_start = True
        self._process: asyncio.subprocess.Process | None = None
        self._starting = asyncio.Lock()
        #: Reached by peers, and by callers or operators.
        self.peers = self._proxy_to(f"{ip}:{plan.peer_port}")
        self.public = self._proxy_to(f"{ip}:{local_cluster.free_port(ip)}")

    @property
    def proxies(self) -> tuple[_proxy.Proxy, ...]:
        """All proxies of this node."""
        return (self.peers, self.public)

    @property
    def runs(self) -> bool:
        """Whether the process lives."""
        process = self._process
        return process is not None and process.returncode is None

    async def start(self) -> None:
        """Starts the process unless it runs, and its proxies the first time.

        Faults that overlap may both want to start it again.
        """
        async with self._starting:
            if not self.runs:
                await self._start()

    async def _start(self) -> None:
        if self._is_first_start:
            for proxy in self.proxies:
                await proxy.start()
            self._data.mkdir()
        self._write_settings()
        self._is_first_start = False
        environment = {
            **os.environ,
            provider_protocol.SETTINGS_VARIABLE: str(self._settings_file),
        }
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(PROGRAM),
                stdout=log,
                stderr=log,
                env=environment,
            )
        await self._wait_until_it_listens()

    async def _wait_until_it_listens(self) -> None:
        """Waits for the end of the start; a busy machine takes seconds.

        Raises:
            StartError: The process ended by itself, not by a signal.
        """
        host, _, port = self.public.target.rpartition(":")
        while self.runs:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(START_POLL_S)
                continue
            writer.close()
            return
        exit_code = self._process.returncode if self._process else None
        if exit_code is not None and exit_code > 0:
            raise StartError(self.ip, exit_code, self._last_logged_line())

    def _last_logged_line(self) -> str:
        lines = self._log.read_text(errors="replace").splitlines()
        return lines[-1] if lines else ""

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it lives."""
        if self.runs and self._process is not None:
            self._process.send_signal(number)

    async def wait(self) -> None:
        """Waits for the end of the process; ends it by force if need be."""
        if self._process is None:
            return
        try:
            async with asyncio.timeout(STOP_GRACE_S):
                await self._process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self._process.wait()

    async def stop(self) -> None:
        """Ends the process and the proxies."""
        self.send(signal.SIGKILL)
        await self.wait()
        for proxy in self.proxies:
            await proxy.stop()

    def wipe(self) -> None:
        """Loses the disk; the process must not run."""
        shutil.rmtree(self._data)
        self._data.mkdir()

    def touch_settings(self) -> None:
        """Rewrites the settings file, as an operator's tool does."""
        self._write_settings()

    def _proxy_to(self, listen: str) -> _proxy.Proxy:
        hidden = f"{self.ip}:{local_cluster.free_port(self.ip)}"
        return _proxy.Proxy(listen, hidden)

    def _write_settings(self) -> None:
        is_control = self.role == "control"
        listen = {"peers": self.peers.target}
        listen["operators" if is_control else "callers"] = self.public.target
        if not is_control:
            listen["readiness"] = (
                f"{self.ip}:{local_cluster.free_port(self.ip)}"
            )
            listen["directory"] = (
                f"{self.ip}:{local_cluster.free_port(self.ip)}"
            )
        listen["metrics"] = f"{self.ip}:{local_cluster.free_port(self.ip)}"
        content = {
            "role": self.role,
            "ip": self.ip,
            "failure_domain_id": "a",
            "peer_port": self._plan.peer_port,
            "seeds": list(self._plan.seeds),
            "shared_key": "soak",
            "is_first_start": self._is_first_start,
            "data_folder": str(self._data) if is_control else "",
            "listen": listen,
            "timing": {"report_interval_ms": 500, "stop_grace_ms": 2_000},
        }
        temporary = self._settings_file.with_suffix(".new")
        temporary.write_text(yaml.safe_dump(content))
        temporary.replace(self._settings_file)
