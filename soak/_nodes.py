"""Control nodes and entries as separate processes behind proxies."""

import asyncio
import contextlib
import ctypes
import dataclasses
import functools
import os
import pathlib
import shutil
import signal
import sys
from typing import Final

from lagooncrank_platform.tests import provider_protocol
import yaml

from soak import _builds
from soak import _checks
from soak import _disturbances
from soak import _proxy
from standins import ports

STOP_TIMEOUT_S: Final = 20.0
START_POLL_S: Final = 0.1
NO_PIDFD: Final = -1
MS_PER_S: Final = 1_000
#: Loaded before any fork, after which imports are not safe.
_LIBC: Final = ctypes.CDLL(None)
#: Option of prctl(2): signal that a process gets when its parent ends.
_PR_SET_PDEATHSIG: Final = 1
#: What a node or its proxies listen on at ports of their own; "proxy" is for
#: callers or operators, and "public" is what it forwards to.
ADDRESS_NAMES: Final = (
    "peers",
    "proxy",
    "public",
    "readiness",
    "directory",
    "metrics",
)


class StartError(Exception):
    """A process exited by itself before it listened."""

    def __init__(self, ip: str, exit_code: int, last_line: str) -> None:
        super().__init__(
            f"node {ip} exited with status {exit_code} during its start: "
            f"{last_line}"
        )
        self.ip = ip
        self.exit_code = exit_code


@dataclasses.dataclass(frozen=True, slots=True)
class SharedSettings:
    """Settings that all nodes of one deployment share."""

    #: Folder for the nodes' data, settings and logs.
    folder: pathlib.Path
    peer_port: int
    delegation_port: int
    seeds: tuple[str, ...]
    checks: _checks.Checks


class Node:
    """One process and the proxies in front of it.

    Args:
        shared: Settings of the deployment.
        ip: Address, which is also the node's id.
        role: Role of the process.
        build: Build that it starts on; the one at hand if None.
    """

    def __init__(
        self,
        shared: SharedSettings,
        ip: str,
        role: str,
        build: _builds.Build | None = None,
    ) -> None:
        self.ip = ip
        self.role = role
        #: Build that the next start runs.
        self.build = build or _builds.Build.current()
        #: Build that the last start ran.
        self.started_build = self.build
        self._shared = shared
        self._data_folder = shared.folder / f"data-{ip}"
        self._log_file = shared.folder / f"{ip}.log"
        self._settings_file = shared.folder / f"{ip}.yaml"
        self._is_first_start = True
        self._checks = shared.checks
        self._watch = _disturbances.Watch(
            shared.checks.disturbances, ip, shared.checks.now_s
        )
        #: Number of starts.
        self.boot = 0
        #: What the process does on a signal to reload, when the last one came.
        self._reload_action = "none was sent"
        #: Whether the soak has ended the process that runs or ran last.
        self._is_ended = False
        self._guard: asyncio.Task[None] | None = None
        self._process: asyncio.subprocess.Process | None = None
        #: Refers to the process, also once its id is used again.
        self._pidfd = NO_PIDFD
        self._start_lock = asyncio.Lock()
        #: Spawns the newest process, and is done once that is adopted.
        self._spawning: asyncio.Task[None] | None = None
        #: Whether this node is not started any more.
        self._is_stopped = False
        #: Proxies for peers, and for callers or operators.
        self._addresses = {
            name: f"{ip}:{port}"
            for name, port in zip(
                ADDRESS_NAMES,
                ports.free_ports(len(ADDRESS_NAMES)),
                strict=True,
            )
        }
        self.peer_proxy = _proxy.Proxy(
            f"{ip}:{shared.peer_port}", self._addresses["peers"], self._watch
        )
        self.public_proxy = _proxy.Proxy(
            self._addresses["proxy"], self._addresses["public"], self._watch
        )

    @property
    def directory_address(self) -> str:
        """Address at which callers look entries up."""
        return self._addresses["directory"]

    @property
    def proxies(self) -> tuple[_proxy.Proxy, ...]:
        """All proxies of this node."""
        return (self.peer_proxy, self.public_proxy)

    @property
    def is_running(self) -> bool:
        """Whether the process is alive, if only suspended."""
        process = self._process
        return process is not None and process.returncode is None

    async def start(self) -> None:
        """Starts the process unless it is running, or the node was stopped.

        The first start also starts the proxies. The lock keeps overlapping
        faults from starting the same node twice.

        Raises:
            StartError: The process exited by itself before it listened.
        """
        async with self._start_lock:
            if not self.is_running and not self._is_stopped:
                await self._start()

    async def _start(self) -> None:
        if self._is_first_start:
            for proxy in self.proxies:
                await proxy.start()
            self._data_folder.mkdir()
        self._write_settings()
        self._is_first_start = False
        self.started_build = self.build
        self.boot += 1
        self._is_ended = False
        if self.boot > 1:
            self._watch.begin("down", _disturbances.Cause.PLANNED)
        # A start that is cancelled still adopts the process that it spawns.
        self._spawning = asyncio.create_task(self._spawn())
        await asyncio.shield(self._spawning)
        self._checks.planned_work.record_start(
            self.ip,
            self.build.name,
            self._checks.now_s(),
            plans_stops=self.build.plans_stops,
        )
        await self._wait_until_listening()
        self._watch.end("down", "killed", "stopped", "frozen")
        if self._guard is None:
            self._guard = asyncio.create_task(self._restart_if_ended())

    async def _spawn(self) -> None:
        environment = {
            **os.environ,
            provider_protocol.SETTINGS_VARIABLE: str(self._settings_file),
        }
        # A build finds its own modules only.
        environment.pop("PYTHONPATH", None)
        with self._log_file.open("ab") as log:
            self.adopt(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    str(self.build.program),
                    stdout=log,
                    stderr=log,
                    env=environment,
                    preexec_fn=functools.partial(_end_with_parent, os.getpid()),
                )
            )

    def adopt(self, process: asyncio.subprocess.Process) -> None:
        """Makes a child process that has just started this node's."""
        if self._pidfd != NO_PIDFD:
            os.close(self._pidfd)
        self._process = process
        self._pidfd = os.pidfd_open(process.pid)
        if self._is_stopped:
            self.send_signal(signal.SIGKILL)

    async def _restart_if_ended(self) -> None:
        """Reports a process that ends by itself and starts it again."""
        while True:
            await asyncio.sleep(START_POLL_S)
            if self.is_running or self._is_ended or self._start_lock.locked():
                continue
            exit_code = self._process.returncode if self._process else None
            self._checks.history.record_violation(
                f"process of {self.ip} (build {self.build.name}, last signal "
                f"to reload: {self._reload_action}) ended by itself with "
                f"status {exit_code}: {self._last_logged_line()}"
            )
            await self.start()

    async def _wait_until_listening(self) -> None:
        """Waits until the process listens or has exited.

        There is no timeout: a start takes seconds on a busy machine.

        Raises:
            StartError: The process exited by itself, not by a signal.
        """
        host, _, port = self.public_proxy.target_address.rpartition(":")
        while self.is_running:
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
        lines = self._log_file.read_text(errors="replace").splitlines()
        return lines[-1] if lines else ""

    @property
    def log_file(self) -> pathlib.Path:
        """Log of all processes of this node."""
        return self._log_file

    @property
    def process_id(self) -> int:
        """Id of the process, which has been started."""
        assert self._process is not None
        return self._process.pid

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.is_running and self._process is not None:
            self._record(signal_number)
            if signal_number is signal.SIGHUP:
                self._reload_action = _reload_action(self._process.pid)
            # The library's way would reap a process that has just ended.
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self._pidfd, signal_number)

    def _record(self, signal_number: signal.Signals) -> None:
        now_s = self._checks.now_s()
        if signal_number in (signal.SIGTERM, signal.SIGKILL):
            self._is_ended = True
        if signal_number is signal.SIGTERM:
            self._watch.begin("stopped", _disturbances.Cause.PLANNED)
            self._checks.planned_work.record_stop(self.ip, now_s)
        elif signal_number is signal.SIGHUP:
            self._checks.planned_work.record_reload(self.ip, now_s)
        elif signal_number is signal.SIGCONT:
            self._watch.end("frozen")
        elif signal_number is signal.SIGKILL:
            self._watch.begin("killed")
            self._checks.account.record_kill(now_s)
        elif signal_number is signal.SIGSTOP:
            self._watch.begin("frozen")

    async def wait_for_exit(self) -> None:
        """Waits until the process has exited; kills it after a timeout."""
        if self._process is None:
            return
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()

    async def stop(self) -> None:
        """Kills the process and stops the proxies; no process follows."""
        self._is_stopped = True
        if self._guard is not None:
            self._guard.cancel()
        self.send_signal(signal.SIGKILL)
        if self._spawning is not None:
            # An error in it is that of the start.
            await asyncio.wait({self._spawning})
        await self.wait_for_exit()
        for proxy in self.proxies:
            await proxy.stop()

    def erase_disk(self) -> None:
        """Erases the data folder; the process must not be running."""
        shutil.rmtree(self._data_folder)
        self._data_folder.mkdir()

    def rewrite_settings(self) -> None:
        """Rewrites the settings file, as an operator's tool does."""
        self._write_settings()

    def _write_settings(self) -> None:
        is_control = self.role == "control"
        bounds = self._checks.bounds
        listen = {"peers": self.peer_proxy.target_address}
        listen["operators" if is_control else "callers"] = (
            self.public_proxy.target_address
        )
        if not is_control:
            for name in ("readiness", "directory"):
                listen[name] = self._addresses[name]
        listen["metrics"] = self._addresses["metrics"]
        content = {
            "role": self.role,
            "ip": self.ip,
            "failure_domain_id": "a",
            "peer_port": self._shared.peer_port,
            "delegation_port": self._shared.delegation_port,
            "seeds": list(self._shared.seeds),
            "shared_key": "soak",
            "is_first_start": self._is_first_start,
            "data_folder": str(self._data_folder) if is_control else "",
            "source_ip": "" if is_control else self.ip,
            "listen": listen,
            "timing": {
                "report_interval_ms": 500,
                "stop_grace_ms": int(bounds.loss.grace_s * MS_PER_S),
            },
            "retry": {
                "window_ms": int(bounds.budget.window_s * MS_PER_S),
                "ratio": bounds.budget.ratio,
                "extra": bounds.budget.extra,
            },
        }
        temporary = self._settings_file.with_suffix(".new")
        temporary.write_text(yaml.safe_dump(self.build.settings(content)))
        temporary.replace(self._settings_file)


def _end_with_parent(parent_pid: int) -> None:
    """Makes the kernel end this process when its parent ends, however it does.

    Called between the fork and the start of the program. The kernel does not
    tell of a parent that has ended already.

    Args:
        parent_pid: Process that forked this one.
    """
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent_pid:
        os.kill(os.getpid(), signal.SIGKILL)


def _reload_action(pid: int) -> str:
    """Returns what a process does on a signal to reload its settings.

    By default the signal ends it: until the first line of the program has run.
    """
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return "none, it has ended"
    fields = dict(line.split(":\t", 1) for line in status.splitlines())
    mask = 1 << (signal.SIGHUP - 1)
    if int(fields["SigCgt"], 16) & mask:
        return "handled"
    return "ignored" if int(fields["SigIgn"], 16) & mask else "default"
