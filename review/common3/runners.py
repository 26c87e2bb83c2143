"""Sound plain runners, and clients that send bookings to an entry."""

import asyncio
import contextlib
from collections.abc import Callable
from collections.abc import Sequence
import json
import random
import time

from review.common3 import deployment

#: `heartbeat_ms` of the deployment.
PING_INTERVAL_S = 1.2
#: Time that a runner works on a booking.
WORK_S = 0.03
CLIENT_TIMEOUT_S = 2.0
_ERRORS = (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError)


class Runner:
    """One boot of a runner of the service `desk`."""

    def __init__(
        self,
        runner_id: str,
        ip: str,
        control_addresses: Callable[[], Sequence[tuple[str, int]]],
    ) -> None:
        self.runner_id = runner_id
        self._ip = ip
        self._control_addresses = control_addresses
        self._born_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._pings: asyncio.Task[None] | None = None
        #: When each booking arrived, by the monotonic clock.
        self.arrivals_s: list[float] = []
        #: When and by which control node its departure was acknowledged.
        self.left_s: float | None = None
        self.left_at = ""

    async def start(self) -> None:
        """Starts to listen and to ping."""
        self._server = await asyncio.start_server(self._serve, self._ip, 0)
        self._pings = asyncio.create_task(self._ping_periodically())

    async def leave(self) -> None:
        """Deregisters, and serves on."""
        if self._pings is not None:
            self._pings.cancel()
        body = json.dumps({"born": self._born_ms}).encode()
        self.left_at = await self._call("deregister", body)
        self.left_s = time.monotonic()

    def stop(self) -> None:
        """Stops without a word."""
        if self._pings is not None:
            self._pings.cancel()
        if self._server is not None:
            self._server.close()

    async def _ping_periodically(self) -> None:
        await asyncio.sleep(random.uniform(0, PING_INTERVAL_S))
        while True:
            await self._call("heartbeat", self._report())
            await asyncio.sleep(PING_INTERVAL_S)

    def _report(self) -> bytes:
        assert self._server is not None
        self._sequence += 1
        port = self._server.sockets[0].getsockname()[1]
        report = {
            "service": "desk",
            "address": f"{self._ip}:{port}",
            "zone": "a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }
        return json.dumps(report).encode()

    async def _call(self, operation: str, body: bytes) -> str:
        """Calls nodes, in any order, until one acknowledges; returns its ip."""
        path = f"/-/instances/{self.runner_id}/{operation}"
        while True:
            addresses = list(self._control_addresses())
            random.shuffle(addresses)
            for ip, port in addresses:
                if await deployment.call(ip, port, "POST", path, body) == 200:
                    return ip
            await asyncio.sleep(0.1)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A task of the loop that ends is cancelled.
        with contextlib.suppress(*_ERRORS, asyncio.CancelledError):
            while True:
                await self._answer(reader, writer)
        writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        method, headers = await _read_request(reader)
        attempt_id = headers.get("attempt-id", "")
        if headers.get("expected-instance", self.runner_id) != self.runner_id:
            writer.write(_response("421 Misdirected Request", attempt_id))
        else:
            if method == "POST":
                self.arrivals_s.append(time.monotonic())
                await asyncio.sleep(WORK_S)
            writer.write(_response("200 OK", attempt_id))
        await writer.drain()


class Client:
    """Sends one booking after the other on new connections."""

    def __init__(self, ip: str, port: int, name: str) -> None:
        self._ip = ip
        self._port = port
        self._name = name
        self.statuses: dict[int, int] = {}

    async def run(self) -> None:
        """Sends bookings until it is cancelled."""
        number = 0
        while True:
            number += 1
            status = 0
            with contextlib.suppress(*_ERRORS):
                status = await self._book(f"{self._name}-{number}")
            self.statuses[status] = self.statuses.get(status, 0) + 1
            await asyncio.sleep(0.01)

    async def _book(self, attempt_id: str) -> int:
        async with asyncio.timeout(CLIENT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(self._ip, self._port)
            try:
                writer.write(
                    b"POST /a/book HTTP/1.1\r\nHost: a.example\r\n"
                    + f"Attempt-Id: {attempt_id}\r\n".encode()
                    + b"Deadline-Ms: 800\r\nConnection: close\r\n"
                    b"Content-Length: 4\r\n\r\nslot"
                )
                line = await reader.readline()
                await reader.read()
                return int(line.split()[1])
            finally:
                writer.close()


async def _read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    await reader.readexactly(int(headers.get("content-length", "0")))
    return first.split()[0], headers


def _response(status: str, attempt_id: str) -> bytes:
    head = (
        f"HTTP/1.1 {status}\r\nAttempt-Id: {attempt_id}\r\n"
        "Server-Signature: s1\r\nContent-Length: 2\r\n\r\n"
    )
    return head.encode() + b"ok"
