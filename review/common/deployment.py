"""Starts the project's programs with the commands of the deploy file."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import tempfile
import tomllib
from typing import Any
from typing import Final

from standins import ports

ROOT: Final = pathlib.Path(__file__).resolve().parents[2]
#: Delay after which the provider restarts a process that has ended.
RESTART_DELAY_S: Final = 0.5
STOP_TIMEOUT_S: Final = 10.0
CONTROL_IPS: Final = ("127.0.37.1", "127.0.37.2", "127.0.37.3")
ENTRY_IPS: Final = ("127.0.37.11", "127.0.37.12", "127.0.37.13")
#: Bounds of the Nilegrid and Lustral sheets.
RETRY_EXTRA: Final = 130


class Record:
    """Lines about what was sent, answered and run, with their times."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = asyncio.get_running_loop().time()

    def note(self, text: str) -> str:
        """Writes one line; returns it."""
        passed_s = asyncio.get_running_loop().time() - self._started_s
        line = f"{passed_s:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        return line

    def write(self, text: str) -> None:
        """Writes one line, and prints it."""
        print(self.note(text), flush=True)


@dataclasses.dataclass
class Daemon:
    """One process of the system, which is restarted after it has ended."""

    role: str
    ip: str
    settings_file: pathlib.Path
    log_file: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    #: Exits that nobody asked for.
    own_ends: int = 0
    starts: int = 0
    is_wanted: bool = True
    keeper: asyncio.Task[None] | None = None


class Deployment:
    """Three control nodes and three entries on loopback addresses."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self._stack = contextlib.ExitStack()
        #: Held while a process is started, so that none is missed at the end.
        self._spawning = asyncio.Lock()
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)
        self._peer_port, self._delegation_port = ports.free_ports(2)
        self.operator_port, self.caller_port = ports.free_ports(2)
        self._metrics_port, self._ready_port = ports.free_ports(2)
        self._directory_port = ports.free_port()
        with (ROOT / "deploy/system.toml").open("rb") as file:
            self._roles = tomllib.load(file)["roles"]
        self.controls = [
            self._prepare("control", ip, zone)
            for zone, ip in zip("abc", CONTROL_IPS, strict=True)
        ]
        self.entries = [
            self._prepare("entry", ip, zone)
            for zone, ip in zip("abc", ENTRY_IPS, strict=True)
        ]

    @property
    def daemons(self) -> list[Daemon]:
        """All processes of the system."""
        return [*self.controls, *self.entries]

    @property
    def operator_addresses(self) -> list[str]:
        """Addresses for operators and backend servers."""
        return [f"{ip}:{self.operator_port}" for ip in CONTROL_IPS]

    def caller_address(self, entry: Daemon) -> str:
        """Returns an entry's address for callers."""
        return f"{entry.ip}:{self.caller_port}"

    def directory_address(self, entry: Daemon) -> str:
        """Returns the address at which an entry answers look-ups."""
        return f"{entry.ip}:{self._directory_port}"

    def _prepare(self, role: str, ip: str, zone: str) -> Daemon:
        listen = {"metrics": f"{ip}:{self._metrics_port}"}
        settings: dict[str, Any] = {
            "role": role,
            "ip": ip,
            "failure_domain_id": zone,
            "peer_port": self._peer_port,
            "delegation_port": self._delegation_port,
            "seeds": self.operator_addresses,
            "shared_key": "review",
            "is_first_start": True,
            "data_folder": "",
            "tolerated_disk_losses": 1,
            "timing": {"report_interval_ms": 1_200, "stop_grace_ms": 8_000},
            "retry": {
                "window_ms": 10_000,
                "ratio": 0.2,
                "extra": RETRY_EXTRA,
            },
            "loads": {"window_ms": 5_000},
            "listen": listen,
        }
        if role == "control":
            listen["operators"] = f"{ip}:{self.operator_port}"
            settings["data_folder"] = str(self.folder / f"data-{ip}")
        else:
            listen["callers"] = f"{ip}:{self.caller_port}"
            listen["readiness"] = f"{ip}:{self._ready_port}"
            listen["directory"] = f"{ip}:{self._directory_port}"
            settings["source_ip"] = ip
        settings_file = self.folder / f"{role}-{ip}.yaml"
        # JSON is valid YAML.
        settings_file.write_text(json.dumps(settings), encoding="utf-8")
        log_file = self.folder / f"{role}-{ip}.log"
        return Daemon(role, ip, settings_file, log_file)

    async def start(self) -> None:
        """Starts all processes, and keeps them running."""
        for daemon in self.daemons:
            await self._spawn(daemon)
            daemon.keeper = asyncio.create_task(self._keep(daemon))

    async def _spawn(self, daemon: Daemon) -> None:
        async with self._spawning:
            if daemon.is_wanted:
                await self._spawn_now(daemon)

    async def _spawn_now(self, daemon: Daemon) -> None:
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["LAGOONCRANK_BOOT"] = str(daemon.settings_file)
        with daemon.log_file.open("ab") as log:
            daemon.process = await asyncio.create_subprocess_exec(
                *self._roles[daemon.role]["run"].split(" "),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        daemon.starts += 1

    async def _keep(self, daemon: Daemon) -> None:
        while True:
            assert daemon.process is not None
            code = await daemon.process.wait()
            if not daemon.is_wanted:
                return
            daemon.own_ends += 1
            self.record.write(
                f"{daemon.role} {daemon.ip} ended with exit code {code}"
            )
            await asyncio.sleep(RESTART_DELAY_S)
            if not daemon.is_wanted:
                return
            self._clear_first_start(daemon)
            await self._spawn(daemon)

    def _clear_first_start(self, daemon: Daemon) -> None:
        settings = json.loads(daemon.settings_file.read_text())
        settings["is_first_start"] = False
        daemon.settings_file.write_text(json.dumps(settings))

    def send_signal(self, daemon: Daemon, number: signal.Signals) -> None:
        """Sends a signal to a process that runs."""
        assert daemon.process is not None
        self.record.write(f"{number.name} to {daemon.role} {daemon.ip}")
        daemon.process.send_signal(number)

    def kill(self, daemon: Daemon) -> None:
        """Kills a process, which is then restarted."""
        daemon.own_ends -= 1
        self.send_signal(daemon, signal.SIGKILL)

    def last_error(self, daemon: Daemon) -> str:
        """Returns the exception that a process last ended with, if any."""
        for line in reversed(daemon.log_file.read_text().splitlines()):
            with contextlib.suppress(ValueError, AttributeError):
                problem = json.loads(line).get("problem")
                if problem:
                    return str(problem).strip().splitlines()[-1]
        return ""

    async def stop(self) -> None:
        """Ends all processes, and removes their files."""
        for daemon in self.daemons:
            daemon.is_wanted = False
        async with self._spawning:
            for daemon in self.daemons:
                self._terminate(daemon)
        for daemon in self.daemons:
            await self._wait_for_end(daemon)
        self._stack.close()

    def _terminate(self, daemon: Daemon) -> None:
        process = daemon.process
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGCONT)
            process.terminate()

    async def _wait_for_end(self, daemon: Daemon) -> None:
        if daemon.keeper is None or daemon.process is None:
            return
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await daemon.process.wait()
        except TimeoutError:
            daemon.process.kill()
            await daemon.process.wait()
        daemon.keeper.cancel()


def is_troubled() -> bool:
    """Returns whether the run includes the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"
