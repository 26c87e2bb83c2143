"""A small deployment: the project's programs as processes on loopback."""

import asyncio
from collections.abc import Sequence
import dataclasses
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
#: Ports that are tried, below those that the kernel gives to callers.
PORTS = range(20_000, 32_000)

_SETTINGS = """\
role: {role}
ip: {ip}
failure_domain_id: {domain}
peer_port: {ports.peer}
delegation_port: {ports.delegation}
seeds: {seeds}
shared_key: review
is_first_start: {first}
data_folder: "{folder}"
tolerated_disk_losses: {tolerated}
memory_limit_mb: 300
listen:
  callers: "{callers}"
  readiness: "{readiness}"
  operators: "{operators}"
  directory: "{directory}"
  metrics: "{ip}:{ports.metrics}"
timing:
  report_interval_ms: {report_interval_ms}
  stop_grace_ms: 8000
retry:
  window_ms: 10000
  ratio: 0.2
  extra: 136
loads:
  window_ms: 5000
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """Ports of a deployment, the same on all of its addresses."""

    control: int
    callers: int
    readiness: int
    directory: int
    metrics: int
    peer: int
    delegation: int

    @classmethod
    def find_free(cls) -> "Ports":
        """Returns ports that nothing listens on at any address."""
        numbers = random.sample(PORTS, len(PORTS))
        free = itertools.islice(filter(_is_free, numbers), 7)
        return cls(*free)


class Process:
    """One process of the deployment."""

    def __init__(
        self, name: str, settings_file: pathlib.Path, log: Any
    ) -> None:
        self.name = name
        self._settings_file = settings_file
        self._log = log
        self._popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process as the deploy file does."""
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LAGOONCRANK_BOOT": str(self._settings_file),
        }
        self._popen = subprocess.Popen(
            ["python3", "-S", "platform/run.py"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self._popen is not None:
            self.signal(signal.SIGCONT)
            self._popen.kill()
            self._popen.wait()

    @property
    def exit_code(self) -> int | None:
        """Exit code; None while the process runs."""
        return None if self._popen is None else self._popen.poll()


class Deployment:
    """Control nodes and entries, each with an address of its own."""

    def __init__(self, controls: int, entries: int) -> None:
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.ports = Ports.find_free()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.control_ips = [f"{self.net}.{i + 1}" for i in range(controls)]
        self.entry_ips = [f"{self.net}.{i + 101}" for i in range(entries)]
        self.processes: dict[str, Process] = {}
        #: The same in the settings of all nodes.
        self.report_interval_ms = 1_200
        #: Control machines that were removed for good.
        self.removed: set[str] = set()
        self._tolerated = (controls - 1) // 2
        seeds = self._seeds()
        for number, ip in enumerate(self.control_ips):
            self._define(f"control{number}", "control", ip, number, seeds)
        for number, ip in enumerate(self.entry_ips):
            self._define(f"entry{number}", "entry", ip, number, seeds)

    def add_control(self, seeds: Sequence[str] = ()) -> str:
        """Defines a further control node with an empty disk.

        Args:
            seeds: Names of the control nodes that its settings name as seeds;
                the first three that were not removed if empty.

        Returns:
            Its name; it isn't started.
        """
        addresses = [f"{self.ip(name)}:{self.ports.control}" for name in seeds]
        addresses = addresses or self._seeds()
        number = len(self.control_ips)
        ip = f"{self.net}.{number + 1}"
        self.control_ips.append(ip)
        name = f"control{number}"
        self._define(
            name, "control", ip, number, addresses, is_first_start=False
        )
        return name

    def ip(self, name: str) -> str:
        """Returns the address of a control node."""
        return self.control_ips[int(name.removeprefix("control"))]

    def _seeds(self) -> list[str]:
        """Returns three machines of the list, without removed ones."""
        listed = [
            ip
            for number, ip in enumerate(self.control_ips)
            if f"control{number}" not in self.removed
        ]
        return [f"{ip}:{self.ports.control}" for ip in listed[:3]]

    def _define(
        self,
        name: str,
        role: str,
        ip: str,
        number: int,
        seeds: list[str],
        *,
        is_first_start: bool = True,
    ) -> None:
        ports = self.ports
        is_control = role == "control"
        data = self.folder / name
        if is_control:
            data.mkdir()
        text = _SETTINGS.format(
            role=role,
            ip=ip,
            ports=ports,
            domain="abc"[number % 3],
            seeds=json.dumps(seeds),
            first="true" if is_first_start else "false",
            folder=data if is_control else "",
            tolerated=self._tolerated,
            callers="" if is_control else f"{ip}:{ports.callers}",
            readiness="" if is_control else f"{ip}:{ports.readiness}",
            operators=f"{ip}:{ports.control}" if is_control else "",
            directory="" if is_control else f"{ip}:{ports.directory}",
            report_interval_ms=self.report_interval_ms,
        )
        if not is_control:
            text += f"source_ip: {ip}\n"
        file = self.folder / f"{name}.yaml"
        file.write_text(text)
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = Process(name, file, log)

    def start(self) -> None:
        """Starts all processes."""
        for process in self.processes.values():
            process.start()

    def stop(self) -> None:
        """Kills all processes, and removes their files."""
        for process in self.processes.values():
            process.kill()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def leader(self) -> str:
        """Returns the control node that leads by its log; empty if none."""
        terms = {}
        for name in self.processes:
            for line in (self.folder / f"{name}.log").read_bytes().splitlines():
                event = _decode(line)
                if event.get("event") == "leader_changed" and event.get(
                    "leads"
                ):
                    terms[event["term"]] = name
        return terms[max(terms)] if terms else ""

    async def terminate(self, name: str) -> None:
        """Sends SIGTERM to a process, and waits until it has ended."""
        process = self.processes[name]
        process.signal(signal.SIGTERM)
        while process.exit_code is None:
            await asyncio.sleep(0.02)

    async def wait_until_ready(self, timeout_s: float = 20) -> None:
        """Waits until all entries say that they are ready.

        Raises:
            TimeoutError: They do not in time.
        """
        async with asyncio.timeout(timeout_s):
            for ip in self.entry_ips:
                while (
                    await call(ip, self.ports.readiness, "GET", "/-/readyz")
                    != 200
                ):
                    await asyncio.sleep(0.1)

    async def read(self) -> dict[str, int | None]:
        """Returns the version that each control node reads back, if any."""
        versions = {}
        for ip in self.control_ips:
            versions[ip] = await read_version(ip, self.ports.control)
        return versions

    async def put(
        self, document: dict[str, Any], timeout_s: float = 20
    ) -> None:
        """Sends a manifest until it is acknowledged.

        Raises:
            TimeoutError: It is not in time.
        """
        body = json.dumps(document).encode()
        async with asyncio.timeout(timeout_s):
            while True:
                for ip in self.control_ips:
                    status = await call(
                        ip,
                        self.ports.control,
                        "POST",
                        "/-/config/replace",
                        body,
                    )
                    if status == 200:
                        return
                await asyncio.sleep(0.2)


def manifest(version: int) -> dict[str, Any]:
    """Returns a manifest with one route to a booking service."""
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


def _decode(line: bytes) -> dict[str, Any]:
    """Returns a line of a log; an empty event if it is none."""
    try:
        event = json.loads(line)
    except ValueError:
        return {}
    return event if isinstance(event, dict) else {}


async def call(
    ip: str, port: int, method: str, path: str, body: bytes = b""
) -> int:
    """Returns the status of a call; 0 if there is no response in a second."""
    writer = None
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {ip}\r\n"
                "Content-Type: application/json\r\nConnection: close\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            line = await reader.readline()
            return int(line.split()[1])
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0
    finally:
        if writer is not None:
            writer.close()


async def read_version(ip: str, port: int) -> int | None:
    """Returns the manifest version that a control node reads back."""
    writer = None
    try:
        async with asyncio.timeout(2):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(
                b"GET /-/config/describe HTTP/1.1\r\nHost: c\r\n"
                b"Connection: close\r\n\r\n"
            )
            head, _, body = (await reader.read()).partition(b"\r\n\r\n")
            if head.split()[1] != b"200":
                return None
            return int(json.loads(body)["version"])
    except (OSError, TimeoutError, IndexError, ValueError, KeyError):
        return None
    finally:
        if writer is not None:
            writer.close()


def _is_free(port: int) -> bool:
    """Returns whether nothing listens on a port, at any address."""
    with socket.socket() as probe:
        try:
            probe.bind(("", port))
        except OSError:
            return False
    return True
