"""Sound backend server: registers, runs requests, echoes and signs."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import time

from review.common2 import nodes
from review.common2 import record as records
from review.common2 import wire

REPORT_INTERVAL_S = 1.2
ACK_TIMEOUT_S = 1.0

#: Returns the time for which a request runs, in seconds.
Work = Callable[[wire.Message], float]


class PlainServer:
    """A plain service's server; one request at a time on a connection."""

    def __init__(
        self,
        deployment: nodes.Deployment,
        record: records.Record,
        server_id: str,
        service: str,
        work: Work = lambda _request: 0.02,
        slots: int = 6,
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.state = "ready"
        self.address = ""
        self.born_ms = int(time.time() * 1_000)
        #: Attempt ids in the order of their runs.
        self.runs: list[str] = []
        self._deployment = deployment
        self._record = record
        self._work = work
        self._slots = slots
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._reporting: asyncio.Task[None] | None = None
        #: Tasks of the open connections.
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts to listen and to report."""
        await self._listen()
        self._reporting = asyncio.create_task(self._report_periodically())

    async def crash(self, down_s: float, first_ping_s: float) -> None:
        """Ends the process; it starts again under its id and address.

        Args:
            down_s: Time until it is back.
            first_ping_s: Time from its return until its first ping arrives.
        """
        await self.stop()
        await asyncio.sleep(down_s)
        self.born_ms = int(time.time() * 1_000)
        self._sequence = 0
        await self._listen()
        self._reporting = asyncio.create_task(
            self._report_periodically(first_ping_s)
        )

    async def _listen(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve,
            host or self._deployment.server_ip,
            int(port or 0),
            reuse_address=True,
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stops without a word."""
        if self._reporting is not None:
            self._reporting.cancel()
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def report(self) -> dict[str, object]:
        """Returns the next report."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": self._slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self.born_ms,
        }

    def rest_for(self, writer: asyncio.StreamWriter) -> float | None:
        """Returns the rest to ask a caller for; None to run its request."""
        return None

    async def send_report(self) -> bool:
        """Sends a report to one node after the other until one takes it."""
        return await send_report(
            self._deployment, self.server_id, self.report()
        )

    async def _report_periodically(self, first_ping_s: float = 0.0) -> None:
        await asyncio.sleep(first_ping_s)
        while True:
            await self.send_report()
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (request := await wire.read_message(reader)) is not None:
                await self._respond(request, writer)
        except (*nodes.ERRORS, asyncio.CancelledError):
            # The caller has left, or this server stops.
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _respond(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> None:
        if request.target == "/healthz":
            headers = {"Instance-Id": self.server_id}
            writer.write(wire.encode("HTTP/1.1 200 OK", headers, b""))
            return
        attempt_id = request.headers.get("attempt-id", "")
        headers = {"Attempt-Id": attempt_id}
        if request.headers.get("expected-instance") != self.server_id:
            headers["Not-Executed"] = "1"
            line = "HTTP/1.1 421 Misdirected Request"
            writer.write(wire.encode(line, headers, b""))
            return
        if (rest_s := self.rest_for(writer)) is not None:
            headers |= {"Not-Executed": "1", "Retry-After": f"{rest_s:g}"}
            line = "HTTP/1.1 503 Service Unavailable"
            writer.write(wire.encode(line, headers, b""))
            return
        self.runs.append(attempt_id)
        self._record.write(f"{self.server_id} runs {attempt_id}")
        await asyncio.sleep(self._work(request))
        headers["Server-Signature"] = f"{self.server_id}.{attempt_id}"
        self._record.write(f"{self.server_id} answers {attempt_id}")
        body = f"done {attempt_id}".encode()
        writer.write(wire.encode("HTTP/1.1 200 OK", headers, body))
        await writer.drain()


async def send_report(
    deployment: nodes.Deployment, server_id: str, report: dict[str, object]
) -> bool:
    """Sends a report; returns whether a node acknowledged it."""
    return await _call(deployment, server_id, "heartbeat", report)


async def deregister(
    deployment: nodes.Deployment, server_id: str, body: dict[str, object]
) -> bool:
    """Deregisters a server; returns whether a node acknowledged it."""
    return await _call(deployment, server_id, "deregister", body)


async def _call(
    deployment: nodes.Deployment,
    server_id: str,
    name: str,
    body: dict[str, object],
) -> bool:
    path = f"/-/instances/{server_id}/{name}"
    for address in deployment.operator_addresses:
        with contextlib.suppress(*nodes.ERRORS):
            response = await wire.exchange(
                address,
                "POST",
                path,
                {"Content-Type": "application/json"},
                json.dumps(body).encode(),
                ACK_TIMEOUT_S,
            )
            if 200 <= response.status < 300:
                return True
    return False


async def wait_until(
    condition: Callable[[], Awaitable[bool]], timeout_s: float
) -> bool:
    """Polls until a condition holds; returns whether it did in time."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if await condition():
            return True
        await asyncio.sleep(nodes.POLL_S)
    return False
