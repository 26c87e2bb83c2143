"""Streams server-sent events to callers that may read slowly."""

import types

from aiohttp import abc
from aiohttp import web

from lagooncrank import results
from lagooncrank import settings
from lagooncrank.server import _metrics
from lagooncrank.server import _watchdog
from lagooncrank.server.http import _problem
from lagooncrank.server.http import _request_ids


class EventStream:
    """The streamed response to one request.

    The response head is sent together with the first event, so that the
    request can still be refused with an error status until then. A caller
    that does not read an event within the reader timeout is disconnected.
    """

    def __init__(
        self,
        request: web.Request,
        limits: settings.LimitSettings,
        watchdog: _watchdog.Watchdog,
        metrics: _metrics.Metrics,
    ) -> None:
        self._request = request
        self._limits = limits
        self._watchdog = watchdog
        self._metrics = metrics
        self._watch = _watchdog.Watch(self._abort_slow_reader)
        self._writer: abc.AbstractStreamWriter | None = None
        self._response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-store",
            }
        )

    @property
    def started(self) -> bool:
        """Whether the response head was sent."""
        return self._response.prepared

    async def __aenter__(self) -> "EventStream":
        """Starts monitoring whether the caller reads in time."""
        self._watchdog.add(self._watch)
        transport = self._request.transport
        if transport is not None:
            high = self._limits.reader_buffer_bytes
            transport.set_write_buffer_limits(high=high)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops monitoring whether the caller reads in time."""
        self._watchdog.remove(self._watch)

    async def write(self, event: bytes) -> None:
        """Sends an event; waits while the write buffer is full."""
        if self._writer is None:
            self._writer = await self._response.prepare(self._request)
            assert self._writer is not None
        timeout_ms = self._limits.reader_timeout_ms
        self._watchdog.limit_silence(self._watch, timeout_ms)
        await self._writer.write(event)
        self._watch.clear()

    async def write_error(self, refusal: results.Refusal) -> None:
        """Sends an error as the last event."""
        self._metrics.count_error(refusal.code)
        body = _problem.body(refusal, _request_ids.assigned_id(self._request))
        await self.write(b"event: error\ndata: " + body + b"\n\n")

    async def finish(self) -> web.StreamResponse:
        """Sends the end of the response."""
        timeout_ms = self._limits.reader_timeout_ms
        self._watchdog.limit_silence(self._watch, timeout_ms)
        await self._response.write_eof()
        self._watch.clear()
        return self._response

    def _abort_slow_reader(self) -> None:
        self._metrics.count_error(results.ResultCode.READER_TOO_SLOW)
        if self._request.transport is not None:
            self._request.transport.abort()
