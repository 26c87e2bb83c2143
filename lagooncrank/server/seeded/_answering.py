"""Passes a backend server's answer on to its caller."""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from typing import Final

from aiohttp import web

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import model
from lagooncrank.core import dispatch
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _decisions
from lagooncrank.server.seeded import _entry_metrics
from lagooncrank.server.seeded import _events
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _forwarding
from lagooncrank.server.seeded import _wire

#: A resumable stream goes on elsewhere after a pause of this many times the
#: longest one that is on time.
PAUSE_FACTOR: Final = 5
MIN_PAUSE_MS: Final = 1_200


class Answering:
    """Writes answers; resumes streams that break off."""

    def __init__(
        self,
        forwarder: _forwarding.Forwarder,
        metrics: _entry_metrics.EntryMetrics,
        clock: clocks.Clock,
        log: _decisions.DecisionLog,
    ) -> None:
        self._forwarder = forwarder
        self._metrics = metrics
        self._clock = clock
        self._log = log

    async def answer(
        self,
        request: web.BaseRequest,
        exchange: _exchange.Exchange,
        *,
        closing: bool,
    ) -> web.StreamResponse:
        """Serves a request to its end.

        Raises:
            ForwardingError: No answer can be given; nothing was written.
        """
        target, answer = await self._forwarder.open(exchange)
        is_stream = exchange.route.kind is model.RequestKind.STREAM
        if answer.head.status >= _wire.FIRST_ERROR_STATUS or not is_stream:
            return await self._whole(request, exchange, target, answer)
        return await self._stream(request, exchange, target, answer, closing)

    async def _whole(
        self,
        request: web.BaseRequest,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        answer: _attempt.Answer,
    ) -> web.StreamResponse:
        """Returns an answer once all of it has come."""
        while True:
            try:
                body = await self._collect(exchange, answer)
                break
            except _attempt.AttemptFailedError as error:
                self._forwarder.note_broken(exchange, target, error)
            finally:
                answer.close()
                self._forwarder.close(exchange, target)
            target, answer = await self._forwarder.open(exchange)
        response = web.Response(status=answer.head.status, body=body)
        _set_headers(response, answer)
        self._note_answered(exchange, answer.head.status)
        return response

    async def _collect(
        self, exchange: _exchange.Exchange, answer: _attempt.Answer
    ) -> bytes:
        left_ms = max(exchange.left_ms(self._clock), 0)
        try:
            async with asyncio.timeout(left_ms / clocks.MS_PER_S):
                body = b"".join([part async for part in answer.body()])
        except TimeoutError as error:
            raise _attempt.AttemptFailedError(
                _attempt.Failure.SILENT, "the body did not end in time"
            ) from error
        answer.release()
        return body

    async def _stream(
        self,
        request: web.BaseRequest,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        answer: _attempt.Answer,
        closing: bool,
    ) -> web.StreamResponse:
        response = web.StreamResponse(status=answer.head.status)
        _set_headers(response, answer)
        if closing:
            response.force_close()
        if answer.length is not None:
            response.content_length = answer.length
        else:
            response.enable_chunked_encoding()
        try:
            await response.prepare(request)
        except BaseException:
            answer.close()
            self._forwarder.close(exchange, target)
            raise
        pieces = self._pieces(exchange, target, answer)
        try:
            async for piece in pieces:
                await response.write(piece)
        except _forwarding.ForwardingError as error:
            self._cut(request, exchange, error)
            return response
        except ConnectionError:
            self._log.write(
                decisions.Event.CALLER_LEFT,
                **exchange.log_fields(self._clock),
            )
            return response
        finally:
            await pieces.aclose()
        await response.write_eof()
        self._note_answered(exchange, answer.head.status)
        return response

    async def _pieces(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        answer: _attempt.Answer,
    ) -> AsyncGenerator[bytes, None]:
        """Yields whole events, over as many attempts as it takes.

        Raises:
            ForwardingError: The stream breaks off for good.
        """
        while True:
            try:
                async for piece in self._events(exchange, target, answer):
                    self._forwarder.record_event(exchange, target)
                    yield piece
                answer.release()
                return
            except _attempt.AttemptFailedError as error:
                self._forwarder.note_broken(exchange, target, error)
                self._log.write(
                    decisions.Event.RESUMED,
                    failure=error.failure,
                    detail=error.detail,
                    last_event_id=exchange.last_event_id,
                    **exchange.log_fields(self._clock),
                )
            finally:
                answer.close()
                self._forwarder.close(exchange, target)
            target, answer = await self._resumed(exchange)

    async def _resumed(
        self, exchange: _exchange.Exchange
    ) -> tuple[dispatch.Target, _attempt.Answer]:
        """Opens the rest of a stream at another server."""
        target, answer = await self._forwarder.open(exchange)
        if answer.head.status < _wire.FIRST_ERROR_STATUS:
            return target, answer
        answer.close()
        self._forwarder.close(exchange, target)
        error = _attempt.AttemptFailedError(
            _attempt.Failure.SERVER_ERROR, str(answer.head.status)
        )
        raise _forwarding.ForwardingError(_forwarding.lost(exchange, error))

    async def _events(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        answer: _attempt.Answer,
    ) -> AsyncIterator[bytes]:
        splitter = _events.EventSplitter()
        async for chunk in self._chunks(exchange, target, answer):
            ready = []
            for event in splitter.feed(chunk):
                if exchange.first_event_ms is None:
                    exchange.first_event_ms = self._clock.now_ms()
                if event.event_id is not None:
                    exchange.last_event_id = event.event_id
                ready.append(event.raw)
            if ready:
                yield b"".join(ready)
        if splitter.has_rest:
            raise _attempt.AttemptFailedError(
                _attempt.Failure.LOST, "the stream ended within an event"
            )

    async def _chunks(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        answer: _attempt.Answer,
    ) -> AsyncIterator[bytes]:
        """Yields the body; a silent server counts as failed in time."""
        pause_ms: int | None = None
        if exchange.route.is_retry_safe:
            pause_ms = max(
                PAUSE_FACTOR * exchange.route.max_event_gap_ms, MIN_PAUSE_MS
            )
        loop = asyncio.get_running_loop()
        end_s = loop.time() + exchange.left_ms(self._clock) / clocks.MS_PER_S
        chunks = answer.body()
        while True:
            until_s = end_s
            if pause_ms is not None:
                until_s = min(end_s, loop.time() + pause_ms / clocks.MS_PER_S)
            try:
                async with asyncio.timeout_at(until_s) as timeout:
                    with self._forwarder.waiting(exchange, target, timeout):
                        chunk = await anext(chunks, None)
            except TimeoutError as error:
                raise _attempt.AttemptFailedError(
                    _attempt.Failure.SILENT, "no event came in time"
                ) from error
            if chunk is None:
                return
            yield chunk

    def _cut(
        self,
        request: web.BaseRequest,
        exchange: _exchange.Exchange,
        error: _forwarding.ForwardingError,
    ) -> None:
        """Ends the connection so that the answer does not look complete."""
        self._metrics.refused(error.refusal.code)
        self._log.write(
            decisions.Event.CUT,
            code=error.refusal.code.name,
            reason=error.refusal.reason,
            last_event_id=exchange.last_event_id,
            **exchange.log_fields(self._clock),
        )
        if request.transport is not None:
            request.transport.abort()

    def _note_answered(self, exchange: _exchange.Exchange, status: int) -> None:
        first_ms = exchange.first_event_ms or self._clock.now_ms()
        self._metrics.answered(exchange.service, first_ms - exchange.arrived_ms)
        self._log.write(
            decisions.Event.ANSWERED,
            status=status,
            first_ms=first_ms - exchange.arrived_ms,
            **exchange.log_fields(self._clock),
        )


def _set_headers(response: web.StreamResponse, answer: _attempt.Answer) -> None:
    for name, value in answer.head.passed_on:
        response.headers.add(name, value)
