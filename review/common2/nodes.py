"""Control nodes and entries as processes, started as the deploy file says."""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import tomllib

from review.common2 import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
#: As on the users' sheets.
GRACE_MS = 8_000
REPORT_INTERVAL_MS = 1_200
RETRY_EXTRA = 136
START_TIMEOUT_S = 20.0
POLL_S = 0.05
#: Failures of one exchange.
ERRORS = (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError)


def _is_free(ip: str, ports: dict[str, int]) -> bool:
    for port in ports.values():
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


class Node:
    """One process of a deployment, at an address of its own."""

    def __init__(self, deployment: "Deployment", role: str, ip: str) -> None:
        self.role = role
        self.ip = ip
        self._deployment = deployment
        self._folder = deployment.folder / ip
        self._folder.mkdir()
        self.data_folder = self._folder / "data"
        self.log_file = self._folder / "log"
        self._settings_file = self._folder / "settings.yaml"
        self._process: subprocess.Popen[bytes] | None = None
        self._has_started = False

    def address(self, name: str) -> str:
        """Returns one of the listening addresses."""
        return f"{self.ip}:{self._deployment.ports[name]}"

    def start(self) -> None:
        """Starts the process."""
        self._write_settings()
        self._has_started = True
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "LAGOONCRANK_BOOT": str(self._settings_file),
        }
        with self.log_file.open("ab") as log:
            self._process = subprocess.Popen(
                deploy["roles"][self.role]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self._process is not None:
            self.send_signal(signal.SIGKILL)
            self._process.wait()

    def log(self) -> list[dict[str, object]]:
        """Returns the JSON lines that the process has written."""
        lines = []
        for text in self.log_file.read_text(errors="replace").splitlines():
            try:
                lines.append(json.loads(text))
            except ValueError:
                continue
        return lines

    def _write_settings(self) -> None:
        """Fills in the template of the settings, as the provider does."""
        deployment = self._deployment
        is_entry = self.role == "entry"
        listen = {"metrics": self.address("metrics")}
        if is_entry:
            for name in ("callers", "readiness", "directory"):
                listen[name] = self.address(name)
        else:
            listen["operators"] = self.address("operators")
        settings = {
            "role": self.role,
            "ip": self.ip,
            "failure_domain_id": "a",
            "peer_port": deployment.ports["peers"],
            "delegation_port": deployment.ports["delegation"],
            "seeds": deployment.seeds,
            "shared_key": "review",
            "is_first_start": not self._has_started,
            "data_folder": "" if is_entry else str(self.data_folder),
            "tolerated_disk_losses": 1,
            "memory_limit_mb": 300,
            "listen": listen,
            "timing": {
                "report_interval_ms": REPORT_INTERVAL_MS,
                "stop_grace_ms": GRACE_MS,
            },
            "retry": {
                "window_ms": 10_000,
                "ratio": 0.2,
                "extra": deployment.retry_extra,
            },
            "loads": {"window_ms": 5_000},
        }
        if is_entry:
            settings["source_ip"] = self.ip
        # JSON is YAML.
        self._settings_file.write_text(json.dumps(settings))


class Deployment:
    """Control nodes and entries on loopback addresses of their own."""

    def __init__(
        self,
        controls: int = 3,
        entries: int = 2,
        retry_extra: int = RETRY_EXTRA,
    ) -> None:
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        self.retry_extra = retry_extra
        names = (
            "callers",
            "readiness",
            "operators",
            "directory",
            "metrics",
            "peers",
            "delegation",
        )
        count = controls + entries
        while True:
            network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            first_port = random.randint(11_000, 29_000)
            self.ports = {n: first_port + i for i, n in enumerate(names)}
            ips = [f"{network}.{i + 1}" for i in range(count)]
            if all(_is_free(ip, self.ports) for ip in ips):
                break
        self.seeds = [
            f"{ip}:{self.ports['operators']}" for ip in ips[:controls]
        ]
        self.controls = [Node(self, "control", ip) for ip in ips[:controls]]
        self.entries = [Node(self, "entry", ip) for ip in ips[controls:]]
        #: Last byte of further addresses in the network of the deployment.
        self.server_ip = f"{network}.200"

    @property
    def nodes(self) -> list[Node]:
        """All nodes."""
        return [*self.controls, *self.entries]

    @property
    def operator_addresses(self) -> list[str]:
        """Addresses at which control nodes take reports and documents."""
        return [c.address("operators") for c in self.controls]

    async def start(self, document: dict[str, object]) -> None:
        """Starts all nodes and applies a first document.

        Raises:
            TimeoutError: Not all entries are ready in time.
        """
        for node in self.nodes:
            node.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            await self.apply(document)
            for entry in self.entries:
                await wait_ready(entry)

    async def apply(self, document: dict[str, object]) -> None:
        """Sends a document to one node after the other until it is accepted."""
        body = json.dumps(document).encode()
        headers = {"Content-Type": "application/json"}
        path = "/-/config/replace"
        while True:
            for address in self.operator_addresses:
                try:
                    response = await wire.exchange(
                        address, "POST", path, headers, body
                    )
                except ERRORS:
                    continue
                if response.status == 200:
                    return
            await asyncio.sleep(POLL_S)

    def stop(self) -> None:
        """Ends all processes and removes their files."""
        for node in self.nodes:
            # A process that was stopped by a signal is killed all the same.
            node.kill()
        self._temporary.cleanup()


async def is_ready(entry: Node) -> bool:
    """Returns whether an entry says that it is ready."""
    try:
        address = entry.address("readiness")
        response = await wire.exchange(address, "GET", "/-/readyz")
    except ERRORS:
        return False
    return response.status == 200


async def wait_ready(entry: Node) -> None:
    """Waits until an entry says that it is ready."""
    while not await is_ready(entry):  # noqa: ASYNC110 - another process
        await asyncio.sleep(POLL_S)
