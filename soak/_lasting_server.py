"""Fake backend servers whose work lasts, and which leave as announced."""

import asyncio
from typing import Any
from typing import Final

from aiohttp import web
from lagooncrank_platform.tests import fake_server
from lagooncrank_platform.tests import provider_protocol

#: Headers by which a caller says how long its request takes.
EVENTS_HEADER: Final = "X-Soak-Events"
WORK_HEADER: Final = "X-Soak-Work-S"
EVENT_INTERVAL_S: Final = 0.1
NOT_RUN: Final = 421


class LastingServer(fake_server.FakeServer):
    """A fake server that works for as long as its callers say."""

    #: Time, on the event loop's clock, until which it sends nothing.
    quiet_until_s = 0.0
    #: Whether it does nothing at all, like a process that does not run.
    is_held = False
    #: Time that it takes over a refusal.
    refusal_delay_s = 0.0

    async def _wait_while_quiet(self) -> None:
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(max(self.quiet_until_s - now_s, 0.0))

    def on_arrival(self, attempt_id: str, limit_ms: int | None) -> None:
        """Called when a request has arrived, with its time limit."""

    def on_passed(self, attempt_id: str, arrived_s: float) -> None:
        """Called when an arrived request was not rejected with 421."""

    def may_report(self) -> bool:
        """Returns whether this server does anything at all."""
        return not self.is_held

    def on_acknowledged(self, report: dict[str, Any]) -> None:
        """Notices that the system knows of a departure."""
        if report["state"] == "draining":
            self.on_left()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        attempt_id = (
            provider_protocol.response_attempt_id(request.headers) or ""
        )
        arrived_s = asyncio.get_running_loop().time()
        limit = request.headers.get(provider_protocol.LIMIT_HEADER)
        self.on_arrival(attempt_id, None if limit is None else int(limit))
        response = await super()._serve(request)
        if response.status != NOT_RUN:
            self.on_passed(attempt_id, arrived_s)
        return response

    async def _run(
        self, request: web.Request, attempt_id: str
    ) -> web.StreamResponse:
        if not self.is_full:
            return await super()._run(request, attempt_id)
        headers = self._response_headers(request)
        await asyncio.sleep(self.refusal_delay_s)
        return self._refuse(headers)

    async def _respond(self, request: web.Request) -> web.StreamResponse:
        # What has begun to run is not refused any more.
        await asyncio.sleep(float(request.headers.get(WORK_HEADER, "0")))
        headers = self._response_headers(request)
        return await self._respond_to_run(request, headers)

    async def _respond_with_events(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        if EVENTS_HEADER not in request.headers:
            return await super()._respond_with_events(request, headers)
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        last = int(request.headers[EVENTS_HEADER])
        for number in range(first, last + 1):
            await self._wait_while_quiet()
            await response.write(f"id: {number}\ndata: x\n\n".encode())
            await asyncio.sleep(EVENT_INTERVAL_S)
        return response
