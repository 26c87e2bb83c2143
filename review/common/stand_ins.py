"""Stand-ins for the provider's operator, callers and backend servers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import json
import time
from typing import Any
from typing import Final

import aiohttp
from aiohttp import web

from review.common import deployment

HOST: Final = "review.example"
KEY: Final = "k-review-1"
ACCOUNT: Final = "acme"
HEARTBEAT_S: Final = 1.2
CALL_TIMEOUT_S: Final = 1.0
JOIN_WARM_S: Final = 0.2
FORM_S: Final = 0.3
#: Time for which an operator tries to have a change acknowledged.
PUT_TIMEOUT_S: Final = 20.0
_SERVING: Final = ("open", "closing")


def engine_route(**changes: Any) -> dict[str, Any]:
    """Returns a route of resumable streams at the engines."""
    return {
        "name": "r-draft",
        "hostname": HOST,
        "path_prefix": "/draft/",
        "type": "streaming",
        "timeout_ms": 8_000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": "writers",
        "max_attempts": 2,
        "public": False,
        "session_affinity": True,
        "resumable": True,
        "gap_aim_ms": 300,
        **changes,
    }


def model(name: str, **changes: Any) -> dict[str, Any]:
    """Returns a model of two engines."""
    return {
        "name": name,
        "size": 2,
        "share": 0.5,
        "pace": 1.0,
        "load_s": 2.0,
        "warm_s": 0.5,
        **changes,
    }


def engine_service(models: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns a service of engines."""
    return {
        "name": "writers",
        "health_path": "/healthz",
        "max_connections": 394,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": 13,
            "kv_capacity_tokens": 700_000,
            "models": models,
            "step_ms": 6.07,
            "per_seq_ms": 0.482,
            "read_per_s": 46_000.0,
            "stride": 5,
            "loads_per_s": 4.0,
            "loads_at_once": 6,
            "usual": {"prompt": 1_076, "answer": 116},
            "cached_prefixes": 1,
            "form_ms": FORM_S * 1_000,
        },
    }


def document(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
) -> dict[str, Any]:
    """Returns a document with one client account."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": ACCOUNT, "api_keys": [KEY], "priority": 1}],
    }


class Operator:
    """Sends documents, each until it is acknowledged."""

    def __init__(
        self, system: deployment.Deployment, session: aiohttp.ClientSession
    ) -> None:
        self._system = system
        self._session = session
        self._addresses = itertools.cycle(system.operator_addresses)

    async def put(
        self, content: dict[str, Any], timeout_s: float = PUT_TIMEOUT_S
    ) -> int | None:
        """Sends a document to one node after the other.

        Returns:
            Status that ended the call; None without a clear response.
        """
        version = content["version"]
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while loop.time() < end_s:
            address = next(self._addresses)
            status = await self._post(address, content)
            if status is not None and status < 500:
                self._system.record.write(
                    f"operator: version {version} at {address}: {status}"
                )
                return status
            await asyncio.sleep(0.2)
        self._system.record.write(
            f"operator: version {version} without a clear response for "
            f"{timeout_s} s"
        )
        return None

    async def _post(self, address: str, content: dict[str, Any]) -> int | None:
        url = f"http://{address}/-/config/replace"
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with self._session.post(url, json=content) as response:
                    await response.read()
                    return response.status
        return None

    async def read_version(self, address: str) -> int | None:
        """Returns the version that a node reads back, if it knows it."""
        url = f"http://{address}/-/config/describe"
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with self._session.get(url) as response:
                    content = await response.read()
                    if response.status == 200:
                        return int(json.loads(content)["version"])
        return None


@dataclasses.dataclass(slots=True)
class Run:
    """A request that a backend server began to work on."""

    attempt_id: str
    server_id: str
    at_s: float


class BackendServer:
    """A plain service, or an engine if it has a fabric domain."""

    def __init__(
        self,
        system: deployment.Deployment,
        session: aiohttp.ClientSession,
        server_id: str,
        service: str,
        domain: str = "",
        slots: int = 13,
    ) -> None:
        self.system = system
        self.session = session
        self.server_id = server_id
        self.service = service
        self.domain = domain
        self.slots = slots
        self.zone = "a"
        self.address = ""
        self.state = "ready"
        self.is_reporting = True
        self.born = int(time.time() * 1_000)
        self.group: dict[str, Any] | None = None
        self.staged: list[str] = []
        self.model = ""
        #: Members of the newest group, the head first.
        self.members: list[str] = []
        #: Called before this engine takes a join, with the order.
        self.on_join: Callable[[dict[str, Any]], None] = lambda _order: None
        self.runs: list[Run] = []
        #: Answers one request; the default sends a whole answer at once.
        self.answer: Callable[[web.Request], Awaitable[web.StreamResponse]] = (
            self.answer_at_once
        )
        self._sequence = 0
        self._fence = 0
        self._newest_epoch = 0
        self._runner: web.AppRunner | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._changed = asyncio.Event()

    async def start(self, ip: str = "127.0.0.1", port: int = 0) -> None:
        """Starts to listen and to report."""
        app = web.Application(client_max_size=4_194_304)
        app.router.add_post("/-/order", self._on_order)
        app.router.add_get("/-/report", self._on_report)
        app.router.add_get("/healthz", self._on_health)
        app.router.add_route("*", "/{tail:.*}", self._on_request)
        self._runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, port).start()
        host, bound_port = self._runner.addresses[0][:2]
        self.address = f"{host}:{bound_port}"
        self.spawn(self._report_periodically())

    async def stop(self) -> None:
        """Stops like a process that crashes."""
        for task in self._tasks:
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def spawn(self, work: Any) -> None:
        """Runs a coroutine beside the requests."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def report(self) -> dict[str, Any]:
        """Returns the next report."""
        self._sequence += 1
        content: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        if self.domain:
            loaded = self.model if self.group else ""
            content |= {
                "phase": "mixed",
                "models": [{"name": loaded, "version": 1, "adapters": []}]
                if loaded
                else [],
                "domain": self.domain,
                "staged": list(self.staged),
                "group": self.group,
            }
        return content

    async def send_report(self, content: dict[str, Any] | None = None) -> bool:
        """Sends a report to the first node that acknowledges it.

        Args:
            content: The report; None for a new one.
        """
        return await self._call("heartbeat", content or self.report())

    async def deregister(self) -> bool:
        """Says that this server leaves, and sends no reports any more."""
        self.is_reporting = False
        self._sequence += 1
        content = {"born": self.born, "sequence": self._sequence}
        return await self._call("deregister", content)

    async def _call(self, name: str, content: dict[str, Any]) -> bool:
        for address in self.system.operator_addresses:
            url = f"http://{address}/-/instances/{self.server_id}/{name}"
            with contextlib.suppress(
                aiohttp.ClientError, OSError, TimeoutError
            ):
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    async with self.session.post(url, json=content) as reply:
                        await reply.read()
                        if reply.status == 200:
                            return True
        return False

    async def _report_periodically(self) -> None:
        while self.is_reporting:
            self._changed.clear()
            await self.send_report()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_S):
                    await self._changed.wait()

    def _set_group(self, group: dict[str, Any] | None) -> None:
        self.group = group
        self._changed.set()

    async def _on_order(self, request: web.Request) -> web.Response:
        order = json.loads(await request.read())
        if request.headers.get("Expected-Instance") != self.server_id:
            return web.Response(status=421)
        token = order.get("fencing_token", 0)
        if token < self._fence:
            return web.Response(status=412)
        self._fence = token
        operation = order["operation"]
        if operation == "phase":
            self.spawn(self._stage(order["model"]))
            return web.Response(status=202)
        if operation == "join":
            return self._join(order)
        if self.group is None or (
            self.group["name"],
            self.group["epoch"],
        ) != (order["group"], order["epoch"]):
            return web.Response(status=409)
        if operation == "leave":
            self._set_group(None)
        elif operation == "open":
            if self.group["state"] not in ("ready", "open"):
                return web.Response(status=409)
            self.spawn(self._open(self.group["epoch"]))
        elif operation == "close" and self.group["state"] in _SERVING:
            self._set_group({**self.group, "state": "ready"})
        return web.Response(status=202)

    def _join(self, order: dict[str, Any]) -> web.Response:
        members = order["members"]
        group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "rank": members.index(self.server_id),
            "state": "joining",
        }
        is_known = self.group is not None and (
            self.group["epoch"] == group["epoch"]
        )
        if group["epoch"] < self._newest_epoch:
            return web.Response(status=412)
        self._newest_epoch = group["epoch"]
        if not is_known:
            self.on_join(order)
            self.members = members
            self._set_group(group)
            self.spawn(self._become_ready(order["model"], group["epoch"]))
        return web.Response(status=202)

    async def _become_ready(self, model_name: str, epoch: int) -> None:
        await asyncio.sleep(JOIN_WARM_S)
        if self.group is not None and self.group["epoch"] == epoch:
            self.model = model_name
            self.staged = [model_name]
            self._set_group({**self.group, "state": "ready"})

    async def _open(self, epoch: int) -> None:
        await asyncio.sleep(FORM_S)
        if self.group is not None and self.group["epoch"] == epoch:
            self._set_group({**self.group, "state": "open"})

    async def _stage(self, model_name: str) -> None:
        await asyncio.sleep(JOIN_WARM_S)
        self.staged = [model_name]
        self._changed.set()

    async def _on_report(self, _request: web.Request) -> web.Response:
        return web.json_response({"phase": "mixed", "models": [], "pace": 1})

    async def _on_health(self, _request: web.Request) -> web.Response:
        return web.Response(headers={"Instance-Id": self.server_id})

    async def _on_request(self, request: web.Request) -> web.StreamResponse:
        attempt_id = request.headers.get("Attempt-Id", "")
        is_head = self.group is not None and self.group["state"] in _SERVING
        is_expected = request.headers.get("Expected-Instance") == self.server_id
        if not is_expected or (self.domain and not is_head):
            return web.Response(
                status=421,
                headers={
                    "Attempt-Id": attempt_id,
                    "Not-Executed": "1",
                    "At-Server": self.server_id,
                },
            )
        await request.read()
        at_s = asyncio.get_running_loop().time()
        self.runs.append(Run(attempt_id, self.server_id, at_s))
        self.system.record.note(f"{self.server_id} runs {attempt_id}")
        return await self.answer(request)

    def headers(self, request: web.Request) -> dict[str, str]:
        """Returns the headers of every answer."""
        return {
            "Attempt-Id": request.headers.get("Attempt-Id", ""),
            "Server-Signature": f"sig.{self.server_id}",
        }

    async def answer_at_once(self, request: web.Request) -> web.StreamResponse:
        """Sends a whole answer, or a stream of three events."""
        if not self.domain:
            return web.Response(text="done", headers=self.headers(request))
        response = web.StreamResponse(headers=self.headers(request))
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, 4):
            await response.write(f"id: {number}\ndata: x\n\n".encode())
            await asyncio.sleep(0.02)
        return response


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller got for one attempt."""

    attempt_id: str
    status: int | None
    signature: str
    body: bytes
    took_s: float


class Caller:
    """Sends requests, each on a connection of its own."""

    def __init__(
        self, system: deployment.Deployment, session: aiohttp.ClientSession
    ) -> None:
        self._system = system
        self._session = session
        self._numbers = itertools.count(1)

    async def request(
        self,
        entry: deployment.Daemon,
        path: str,
        *,
        method: str = "POST",
        deadline_ms: int = 1_500,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Sends one attempt.

        Returns:
            The answer; its body is empty if it broke off, and its status None
            if there was none.
        """
        attempt_id = f"{next(self._numbers):016x}"
        all_headers = {
            "Host": HOST,
            "Attempt-Id": attempt_id,
            "Deadline-Ms": str(deadline_ms),
            "Credential": KEY,
            "Connection": "close",
            **(headers or {}),
        }
        url = f"http://{self._system.caller_address(entry)}{path}"
        record = self._system.record
        record.note(f"caller sends {attempt_id} {method} {path} to {entry.ip}")
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        status: int | None = None
        signature, body = "", b""
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(deadline_ms / 1_000 + 1):
                async with self._session.request(
                    method,
                    url,
                    headers=all_headers,
                    data=b"x" if method == "POST" else None,
                ) as response:
                    status = response.status
                    signature = response.headers.get("Server-Signature", "")
                    body = await response.read()
        record.note(
            f"caller got {attempt_id} status {status}, {len(body)} bytes, "
            f"signature {signature!r}"
        )
        return Answer(
            attempt_id, status, signature, body, loop.time() - began_s
        )

    def draft(
        self, entry: deployment.Daemon, model_name: str
    ) -> Awaitable[Answer]:
        """Requests a stream of a model."""
        return self.request(
            entry,
            "/draft/1",
            deadline_ms=8_000,
            headers={"Model": model_name, "Token-Usage": "1460,80"},
        )


async def wait_until(
    condition: Callable[[], Any], timeout_s: float = 20.0
) -> bool:
    """Waits until a condition holds; returns whether it did in time."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + timeout_s
    while loop.time() < end_s:
        if condition():
            return True
        await asyncio.sleep(0.05)
    return False
