"""Stand-in model engine: the engine on one member instance of a replica.

It executes orders to load and unload models, streams generated tokens at a
configured rate, resumes and cancels streams, and injects faults on demand.
"""

import argparse
import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses
import json
import os
import time
from typing import Any

from aiohttp import web

from lagooncrank import model
from standins import _lifecycle
from standins import _process
from standins import _tokens

NDJSON = "application/x-ndjson"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOptions:
    """Identity, timing and limits of a stand-in engine."""

    backend_server_id: str
    instance_id: str
    failure_domain_id: str
    fabric_domain_id: str
    accelerators: int = 8
    #: Whether orders with an old fencing number are refused.
    checks_fencing: bool = True
    #: Most requests that run at once.
    concurrency: int = 1_000
    load_ms: int = 50
    first_token_ms: int = 5
    between_tokens_ms: int = 5
    tokens_per_event: int = 1
    #: Prompts that contain this text crash the process; empty for none.
    crash_text: str = ""


class Engine:
    """State and HTTP handlers of one stand-in engine."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.address = ""
        self.incarnation = time.time_ns()
        self.is_leaving = False
        self.loaded: model.LoadedModel | None = None
        self.loads_changed = asyncio.Event()
        #: Token offset from which streams stall, or None.
        self.stalls_after: int | None = None
        #: Token offset from which connections are aborted, or None.
        self.disconnects_after: int | None = None
        #: Token offset at which one event is skipped, sent twice or sent with
        #: another request's id; or None.
        self.skips_event_at: int | None = None
        self.duplicates_event_at: int | None = None
        self.misattributes_event_at: int | None = None
        #: Called with this engine when it has accepted a request.
        self.on_request: Callable[[Engine], None] | None = None
        #: Bodies of all accepted generate requests, oldest first.
        self.requests: list[dict[str, Any]] = []
        #: Remote addresses of the connections of these requests.
        self.peer_addresses: set[tuple[str, int]] = set()
        #: Ids of requests whose streams ended before their last token.
        self.unfinished_requests: list[str] = []
        #: Set when a running request is cancelled, by request id.
        self._cancel_events: dict[str, asyncio.Event] = {}
        self._order_replies: dict[str, dict[str, Any]] = {}
        self._highest_fencing_number = 0
        self._load_tasks: set[asyncio.Task[None]] = set()

    @property
    def running(self) -> int:
        """Number of requests whose responses have not ended."""
        return len(self._cancel_events)

    def app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application()
        app.router.add_post("/v1/generate", self._generate)
        app.router.add_post("/v1/cancel", self._cancel)
        app.router.add_post("/orders", self._order)
        return app

    def announcement(self, sequence: int) -> model.Announcement:
        """Returns an announcement of the engine's current state."""
        options = self.options
        state = model.BackendServerState.READY
        if self.is_leaving:
            state = model.BackendServerState.LEAVING
        return model.Announcement(
            backend_server_id=model.BackendServerId(options.backend_server_id),
            address=self.address,
            instance_id=model.InstanceId(options.instance_id),
            failure_domain_id=model.FailureDomainId(options.failure_domain_id),
            fabric_domain_id=model.FabricDomainId(options.fabric_domain_id),
            kind=model.BackendServerKind.MODEL_ENGINE,
            incarnation=self.incarnation,
            sequence=sequence,
            state=state,
            accelerators=options.accelerators,
            loaded=self.loaded,
            checks_fencing=options.checks_fencing,
            load=model.LoadReport(running=len(self._cancel_events)),
        )

    async def _order(self, request: web.Request) -> web.Response:
        body = await request.json()
        fencing_number = body["fencing_number"]
        earlier_reply = self._order_replies.get(body["order_id"])
        if earlier_reply is not None:
            return web.json_response(earlier_reply)
        if (
            self.options.checks_fencing
            and fencing_number < self._highest_fencing_number
        ):
            reply = {
                "error": "old fencing number",
                "fencing_number": self._highest_fencing_number,
            }
            return web.json_response(reply, status=409)
        self._highest_fencing_number = max(
            fencing_number, self._highest_fencing_number
        )
        reply = {"state": "done", "fencing_number": fencing_number}
        self._order_replies[body["order_id"]] = reply
        if body["kind"] == "load":
            reply["state"] = "accepted"
            self._start_load(body, reply)
        elif body["kind"] == "unload":
            self.loaded = None
            self.loads_changed.set()
        return web.json_response(reply)

    def _start_load(self, body: dict[str, Any], reply: dict[str, Any]) -> None:
        self.loaded = model.LoadedModel(
            service=model.ServiceName(body["service"]),
            replica_id=model.ReplicaId(body["replica_id"]),
            version=body["version"],
            fencing_number=body["fencing_number"],
            ready=False,
        )
        task = asyncio.create_task(self._finish_load(self.loaded, reply))
        self._load_tasks.add(task)
        task.add_done_callback(self._load_tasks.discard)

    async def _finish_load(
        self, loaded: model.LoadedModel, reply: dict[str, Any]
    ) -> None:
        await asyncio.sleep(self.options.load_ms / 1_000)
        reply["state"] = "failed"
        if self.loaded is loaded:
            reply["state"] = "done"
            self.loaded = dataclasses.replace(loaded, ready=True)
            self.loads_changed.set()

    async def _cancel(self, request: web.Request) -> web.Response:
        body = await request.json()
        cancel_event = self._cancel_events.get(body["request_id"])
        if cancel_event is not None:
            cancel_event.set()
        return web.json_response({"cancelled": cancel_event is not None})

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        refusal = self._refusal(body)
        if refusal is not None:
            return refusal
        self.requests.append(body)
        if request.transport is not None:
            self.peer_addresses.add(
                request.transport.get_extra_info("peername")
            )
        if self.on_request is not None:
            self.on_request(self)
        if (
            self.options.crash_text
            and self.options.crash_text in body["prompt"]
        ):
            os._exit(1)
        response = web.StreamResponse(headers={"Content-Type": NDJSON})
        await response.prepare(request)
        request_id = body["request_id"]
        cancel_event = asyncio.Event()
        self._cancel_events[request_id] = cancel_event
        is_finished = False
        try:
            async for line in self._events(body, cancel_event, request):
                await response.write(line)
            is_finished = not cancel_event.is_set()
        finally:
            self._cancel_events.pop(request_id, None)
            if not is_finished:
                self.unfinished_requests.append(request_id)
        return response

    def _refusal(self, body: dict[str, Any]) -> web.Response | None:
        loaded = self.loaded
        if loaded is None or not loaded.ready:
            return web.json_response({"error": "loading"}, status=503)
        requested = (body["replica_id"], body["fencing_number"])
        if requested != (loaded.replica_id, loaded.fencing_number):
            return web.json_response({"error": "wrong replica"}, status=409)
        if len(self._cancel_events) >= self.options.concurrency:
            return web.json_response({"error": "full"}, status=429)
        return None

    async def _events(
        self,
        body: dict[str, Any],
        cancel_event: asyncio.Event,
        request: web.Request,
    ) -> AsyncIterator[bytes]:
        offset = len(body["resume_from"])
        count = body["max_tokens"]
        await asyncio.sleep(self.options.first_token_ms / 1_000)
        while offset < count and not cancel_event.is_set():
            await self._inject_fault(offset, request)
            end = min(offset + self.options.tokens_per_event, count)
            tokens = [
                _tokens.token_at(body["prompt"], position)
                for position in range(offset, end)
            ]
            request_id = body["request_id"]
            event_id = (
                "other" if offset == self.misattributes_event_at else request_id
            )
            line = _event_line(event_id, offset, tokens, end == count)
            if offset != self.skips_event_at:
                yield line
            if offset == self.duplicates_event_at:
                yield line
            offset = end
            await asyncio.sleep(self.options.between_tokens_ms / 1_000)

    async def _inject_fault(self, offset: int, request: web.Request) -> None:
        if (
            self.disconnects_after is not None
            and offset >= self.disconnects_after
        ):
            assert request.transport is not None
            request.transport.abort()
            await asyncio.Event().wait()
        if self.stalls_after is not None and offset >= self.stalls_after:
            await asyncio.Event().wait()


def _event_line(
    request_id: str, offset: int, tokens: list[str], is_last: bool
) -> bytes:
    event: dict[str, Any] = {
        "request_id": request_id,
        "offset": offset,
        "tokens": tokens,
    }
    if is_last:
        event |= {"done": True, "finish_reason": "length"}
    return json.dumps(event).encode() + b"\n"


def _parse_options() -> argparse.Namespace:
    parser = _process.base_parser("Stand-in model engine.")
    parser.add_argument("--fabric-domain", required=True)
    parser.add_argument("--ignores-fencing", action="store_true")
    parser.add_argument("--first-token-ms", type=int, default=5)
    parser.add_argument("--between-tokens-ms", type=int, default=5)
    parser.add_argument("--tokens-per-event", type=int, default=1)
    parser.add_argument("--concurrency", type=int, default=1_000)
    parser.add_argument("--load-ms", type=int, default=50)
    parser.add_argument("--crash-text", default="")
    return parser.parse_args()


async def _main(arguments: argparse.Namespace) -> None:
    engine = Engine(
        EngineOptions(
            backend_server_id=arguments.id,
            instance_id=arguments.instance,
            failure_domain_id=arguments.failure_domain,
            fabric_domain_id=arguments.fabric_domain,
            checks_fencing=not arguments.ignores_fencing,
            first_token_ms=arguments.first_token_ms,
            between_tokens_ms=arguments.between_tokens_ms,
            tokens_per_event=arguments.tokens_per_event,
            concurrency=arguments.concurrency,
            load_ms=arguments.load_ms,
            crash_text=arguments.crash_text,
        )
    )
    await _lifecycle.run_until_sigterm(engine, arguments)


if __name__ == "__main__":
    asyncio.run(_main(_parse_options()))
