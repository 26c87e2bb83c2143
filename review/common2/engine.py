"""Sound model runner: joins groups on orders, streams if its group is open."""

import asyncio
from collections.abc import Callable
import contextlib
import itertools
import json
import time

from review.common2 import nodes
from review.common2 import record as records
from review.common2 import server as servers
from review.common2 import wire

MODEL = "m0"
#: Times of joins, as of a model that the host holds, and of `open`.
WARM_S = 1.6
REJOIN_S = 0.2
FORM_S = 0.3
PREFILL_S = 0.04
EVENT_INTERVAL_S = 0.03
EVENTS = 8
#: Requests that a head runs at once.
SLOTS = 13


class Engine:
    """One runner over all of its boots; each boot has an id of its own."""

    _numbers = itertools.count(1)

    def __init__(
        self,
        deployment: nodes.Deployment,
        record: records.Record,
        domain: str,
        crashes: Callable[[wire.Message], bool] = lambda _request: False,
        down_s: float = 3.0,
        crashes_after_head: bool = False,
        on_arrival: Callable[[wire.Message], None] = lambda _request: None,
        on_crash: Callable[[], None] = lambda: None,
    ) -> None:
        self._deployment = deployment
        self._record = record
        self._domain = domain
        self._crashes = crashes
        self._down_s = down_s
        #: Whether the head of an answer is out before a crash.
        self._crashes_after_head = crashes_after_head
        self._on_arrival = on_arrival
        self._on_crash = on_crash
        self._host, self._port = deployment.server_ip, 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._reporting: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._background: set[asyncio.Task[None]] = set()
        self._changed = asyncio.Event()
        self._begin_boot()

    def _begin_boot(self) -> None:
        self.engine_id = f"i-e{next(self._numbers):04d}"
        self.born_ms = int(time.time() * 1_000)
        self._sequence = 0
        self._orders = 0
        self._fence = 0
        self._newest_epoch = 0
        self._last_model = ""
        self._running = 0
        self._members: list[str] = []
        self.group: dict[str, object] | None = None

    @property
    def address(self) -> str:
        """Address of the runner."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Starts to listen and to report."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port, reuse_address=True
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self._reporting = asyncio.create_task(self._report_periodically())

    async def stop(self) -> None:
        """Stops without a word."""
        if self._reporting is not None:
            self._reporting.cancel()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        for task in (*self._tasks, *self._background):
            task.cancel()
        await asyncio.sleep(0)

    def _spawn(self, work: object) -> None:
        task = asyncio.create_task(work)  # type: ignore[arg-type]
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _crash(self) -> None:
        """Ends this boot; another one follows some seconds later."""
        self._record.write(f"{self.engine_id} crashes")
        self._on_crash()
        if self._reporting is not None:
            self._reporting.cancel()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._begin_boot()
        self._spawn(self._return())

    async def _return(self) -> None:
        await asyncio.sleep(self._down_s)
        self.born_ms = int(time.time() * 1_000)
        await self.start()

    def _report(self) -> dict[str, object]:
        self._sequence += 1
        is_loaded = self.group is not None and self.group["state"] != "joining"
        models = [{"name": MODEL, "version": 1, "adapters": []}]
        return {
            "service": "writers",
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold_remaining_ms": 0,
            "phase": "mixed",
            "models": models if is_loaded else [],
            "domain": self._domain,
            "staged": [MODEL],
            "group": self.group,
            "sequence": self._sequence,
            "born": self.born_ms,
        }

    async def _report_periodically(self) -> None:
        while True:
            self._changed.clear()
            report = self._report()
            await servers.send_report(self._deployment, self.engine_id, report)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(servers.REPORT_INTERVAL_S):
                    await self._changed.wait()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (request := await wire.read_message(reader)) is not None:
                await self._respond(request, writer)
        except (*nodes.ERRORS, asyncio.CancelledError):
            # The caller has left, or this runner has crashed.
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _respond(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> None:
        expected = request.headers.get("expected-instance", self.engine_id)
        attempt_id = request.headers.get("attempt-id", "")
        if expected != self.engine_id:
            self._refuse(writer, attempt_id, "421 Misdirected Request")
        elif request.target == "/-/order":
            status = self._order(json.loads(request.body))
            writer.write(wire.encode(f"HTTP/1.1 {status} .", {}, b"{}"))
        elif request.target in ("/-/report", "/healthz"):
            headers = {"Instance-Id": self.engine_id}
            writer.write(wire.encode("HTTP/1.1 200 OK", headers, b"{}"))
        elif not self._is_open or self._members[0] != self.engine_id:
            self._refuse(writer, attempt_id, "421 Misdirected Request")
        elif self._running >= SLOTS:
            self._refuse(writer, attempt_id, "503 Service Unavailable")
        else:
            await self._run(request, writer, attempt_id)

    @property
    def _is_open(self) -> bool:
        return self.group is not None and self.group["state"] == "open"

    def _refuse(
        self, writer: asyncio.StreamWriter, attempt_id: str, status: str
    ) -> None:
        headers = {"Attempt-Id": attempt_id, "Not-Executed": "1"}
        writer.write(wire.encode(f"HTTP/1.1 {status}", headers, b""))

    async def _run(
        self,
        request: wire.Message,
        writer: asyncio.StreamWriter,
        attempt_id: str,
    ) -> None:
        self._on_arrival(request)
        self._record.write(f"{self.engine_id} has {attempt_id}")
        self._running += 1
        boot = self.engine_id
        try:
            await asyncio.sleep(PREFILL_S)
            is_deadly = self._crashes(request)
            if is_deadly and not self._crashes_after_head:
                # It ends as it begins to write; nothing is on the wire.
                self._crash()
                raise ConnectionResetError
            head = (
                f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt_id}\r\n"
                f"Server-Signature: {boot}.{attempt_id}\r\n"
                "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            )
            writer.write(head.encode())
            if is_deadly:
                await writer.drain()
                # The kernel ends the connections of a process in order.
                writer.close()
                if boot == self.engine_id:
                    self._crash()
                raise ConnectionResetError
            first = int(request.headers.get("last-event-id", "0")) + 1
            for number in range(first, EVENTS + 1):
                event = f"id: {number}\ndata: {attempt_id}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_INTERVAL_S)
            writer.write(b"0\r\n\r\n")
        finally:
            if boot == self.engine_id:
                self._running -= 1

    def _order(self, order: dict[str, object]) -> int:
        """Takes an order; returns the status of the response."""
        fence = int(str(order.get("fencing_token", 0)))
        if fence < self._fence:
            return 412
        self._fence = fence
        operation = order["operation"]
        self._record.write(f"{self.engine_id} takes {operation}")
        if operation == "phase":
            return 200
        if operation == "join":
            return self._join(order)
        group = self.group
        if group is None or (group["name"], group["epoch"]) != (
            order["group"],
            order["epoch"],
        ):
            return 409
        self._orders += 1
        if operation == "open" and group["state"] in ("ready", "open"):
            self._spawn(self._become(group, "open", FORM_S))
        elif operation == "close":
            self._spawn(self._become(group, "ready", 0.3))
        elif operation == "leave":
            self.group = None
            self._changed.set()
        else:
            return 409
        return 202

    def _join(self, order: dict[str, object]) -> int:
        epoch = int(str(order["epoch"]))
        members = order["members"]
        assert isinstance(members, list)
        if epoch < self._newest_epoch:
            return 412
        if epoch == self._newest_epoch and members != self._members:
            return 412
        self._newest_epoch = epoch
        self._members = members
        self._orders += 1
        self.group = {
            "name": order["group"],
            "epoch": epoch,
            "rank": members.index(self.engine_id),
            "state": "joining",
        }
        self._changed.set()
        delay_s = REJOIN_S if self._last_model == order["model"] else WARM_S
        self._last_model = str(order["model"])
        self._spawn(self._become(self.group, "ready", delay_s))
        return 202

    async def _become(
        self, group: dict[str, object], state: str, delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        if self.group is group:
            group["state"] = state
            self._changed.set()
