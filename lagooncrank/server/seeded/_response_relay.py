"""Relays a backend server's response to its caller."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses

import aiohttp
from aiohttp import http_writer
from aiohttp import web

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import dispatch
from lagooncrank.server import _buffer_budget
from lagooncrank.server import _deadlines
from lagooncrank.server import _relayed_responses
from lagooncrank.server import _sockets
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _body_reader
from lagooncrank.server.seeded import _caller_departures
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _delegated_request
from lagooncrank.server.seeded import _entry_metrics
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _forwarding
from lagooncrank.server.seeded import _refusals
from lagooncrank.server.seeded import _response_cuts
from lagooncrank.server.seeded import _stop_gate
from lagooncrank.server.seeded import _stream_events


@dataclasses.dataclass(slots=True)
class _End:
    """End of a response that is written to a caller."""

    #: Whether the whole response was written.
    is_reached: bool = False


class ResponseRelay:
    """Writes responses, and resumes streams that break off."""

    def __init__(
        self,
        forwarder: _forwarding.Forwarder,
        stop_gate: _stop_gate.StopGate,
        departures: _caller_departures.CallerDepartures,
        cuts: _response_cuts.ResponseCuts,
        metrics: _entry_metrics.EntryMetrics,
        buffers: _buffer_budget.BufferBudget,
        clock: clocks.Clock,
        log: _decision_log.DecisionLog,
    ) -> None:
        self._forwarder = forwarder
        self._stop_gate = stop_gate
        self._departures = departures
        self._cuts = cuts
        self._metrics = metrics
        self._clock = clock
        self._log = log
        self._buffers = buffers

    async def serve(
        self,
        request: web.BaseRequest,
        exchange: _exchange.Exchange,
        *,
        is_closing: Callable[[], bool],
    ) -> web.StreamResponse:
        """Forwards a request and relays the whole response.

        Args:
            request: The request.
            exchange: Its state.
            is_closing: Returns whether connections end with their response.

        Raises:
            ForwardingError: There is no response; nothing was written.
            CallerLeftError: The caller has left; what was written of a stream
                is not complete.
        """
        try:
            return await self._serve(request, exchange, is_closing)
        finally:
            self._forwarder.release_slot(exchange)

    async def _serve(
        self,
        request: web.BaseRequest,
        exchange: _exchange.Exchange,
        is_closing: Callable[[], bool],
    ) -> web.StreamResponse:
        with self._buffers.open() as buffer:
            async with self._stop_gate.limit_response(exchange):
                target, backend_response, body = await self._open(
                    exchange, buffer
                )
            if body is None:
                return await self._relay_stream(
                    request, exchange, target, backend_response, is_closing
                )
            is_success = (
                backend_response.head.status < _adapter.FIRST_ERROR_STATUS
            )
            if is_success and backend_response.is_framed:
                self._forwarder.outcomes.record_complete(exchange, target)
            response = _relayed_responses.RelayedResponse(
                status=backend_response.head.status, body=body
            )
            _set_headers(response, backend_response, exchange, target)
            if is_closing():
                response.force_close()
            return await self._write_whole(request, exchange, response)

    async def _open(
        self, exchange: _exchange.Exchange, buffer: _buffer_budget.Buffer
    ) -> tuple[dispatch.Target, _attempt.BackendResponse, bytes | None]:
        """Makes attempts until there is something to write to the caller.

        Returns:
            The target, its response, and the whole body; None for a stream.

        Raises:
            ForwardingError: There is no response.
        """
        while True:
            target, backend_response = await self._forwarder.open(exchange)
            if _is_stream(exchange, backend_response):
                return target, backend_response, None
            body = await self._read_attempt(
                exchange, target, backend_response, buffer
            )
            if body is not None:
                return target, backend_response, body

    async def _write_whole(
        self,
        request: web.BaseRequest,
        exchange: _exchange.Exchange,
        response: web.Response,
    ) -> web.Response:
        """Writes a response; its body is held until the caller has read it."""
        await _write_head(request, response)
        with self._recording_ends(request, exchange) as end:
            await response.write_eof()
            end.is_reached = True
        if end.is_reached:
            self._record_response(exchange, response.status)
        return response

    @contextlib.contextmanager
    def _recording_ends(
        self, request: web.BaseRequest, exchange: _exchange.Exchange
    ) -> Iterator["_End"]:
        """Returns a context in which a response is written.

        If it ends early, for whatever reason, its connection is closed and this
        is recorded.
        """
        try:
            yield _End()
        except _refusals.ForwardingError as error:
            refusal = error.refusal
            self._abort(request, exchange, refusal.code, refusal.reason)
        except ConnectionError:
            self._departures.record(exchange)
        except _exchange.CallerLeftError:
            raise
        except Exception as error:
            code = results.ResultCode.INTERNAL_ERROR
            self._abort(request, exchange, code, repr(error))

    async def _read_attempt(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        backend_response: _attempt.BackendResponse,
        buffer: _buffer_budget.Buffer,
    ) -> bytes | None:
        """Returns a whole body; None if it broke off and may be retried.

        Raises:
            ForwardingError: It broke off and must not be retried.
        """
        try:
            return await self._read_body(exchange, backend_response, buffer)
        except _attempt.AttemptFailedError as error:
            buffer.resize(0)
            self._forwarder.handle_broken_response(exchange, target, error)
        finally:
            backend_response.close()
            self._forwarder.close(exchange, target)
        return None

    async def _read_body(
        self,
        exchange: _exchange.Exchange,
        backend_response: _attempt.BackendResponse,
        buffer: _buffer_budget.Buffer,
    ) -> bytes:
        remaining_ms = exchange.remaining_ms(self._clock)
        try:
            async with _deadlines.after(remaining_ms):
                body = await _body_reader.read(backend_response, buffer)
        except TimeoutError as error:
            raise _attempt.AttemptFailedError(
                _attempt.FailureKind.TIMED_OUT,
                "the body was not complete in time",
            ) from error
        backend_response.release()
        return body

    async def _relay_stream(
        self,
        request: web.BaseRequest,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        backend_response: _attempt.BackendResponse,
        is_closing: Callable[[], bool],
    ) -> web.StreamResponse:
        response = _relayed_responses.RelayedStream(
            status=backend_response.head.status
        )
        _set_headers(response, backend_response, exchange, target)
        if is_closing():
            response.force_close()
        # A length would not hold for the events of another run after a resume.
        if _accepts_chunks(request):
            response.enable_chunked_encoding()
        try:
            await _write_head(request, response)
        except BaseException:
            backend_response.close()
            self._forwarder.close(exchange, target)
            raise
        events = _stream_events.StreamEvents(
            self._forwarder,
            self._buffers,
            self._clock,
            self._log,
            exchange,
            target,
            backend_response,
        )
        with self._recording_ends(request, exchange) as end:
            with contextlib.closing(events):
                async for chunk in events.read():
                    await response.write(chunk)
            await response.write_eof()
            end.is_reached = True
        if end.is_reached:
            self._record_response(exchange, backend_response.head.status)
        return response

    def _abort(
        self,
        request: web.BaseRequest,
        exchange: _exchange.Exchange,
        code: results.ResultCode,
        reason: str,
    ) -> None:
        """Aborts the connection so that the response does not look complete."""
        self._cuts.record(exchange, code, reason)
        if request.transport is not None:
            if not _accepts_chunks(request):
                # An orderly close would be the regular end of the response.
                _sockets.reset_on_close(request.transport)
            request.transport.abort()

    def _record_response(
        self, exchange: _exchange.Exchange, status: int
    ) -> None:
        first_ms = exchange.first_event_ms or self._clock.now_ms()
        self._metrics.observe_response(
            exchange.service, first_ms - exchange.arrived_ms
        )
        self._log.write(
            decisions.Event.ANSWERED,
            status=status,
            first_ms=first_ms - exchange.arrived_ms,
            target_ms=exchange.route.target_latency_ms,
            longest_gap_ms=exchange.longest_gap_ms,
            max_gap_ms=exchange.route.max_event_gap_ms,
            **exchange.log_fields(self._clock),
        )


async def _write_head(
    request: web.BaseRequest, response: web.StreamResponse
) -> None:
    """Begins a response; if that fails, another one may take its place."""
    try:
        await response.prepare(request)
    except BaseException:
        # Nothing was written, but the connection would frame the next response
        # like this one.
        writer = request.writer
        assert isinstance(writer, http_writer.StreamWriter)
        writer.chunked = False
        writer.length = None
        raise


def _is_stream(
    exchange: _exchange.Exchange, backend_response: _attempt.BackendResponse
) -> bool:
    """Returns whether a response is relayed event by event."""
    return (
        exchange.route.kind is model.RequestKind.STREAM
        and backend_response.head.status < _adapter.FIRST_ERROR_STATUS
    )


def _accepts_chunks(request: web.BaseRequest) -> bool:
    """Returns whether a response to a request may have chunks.

    Without them a response of unknown length ends with its connection.
    """
    return request.version >= aiohttp.HttpVersion11


def _set_headers(
    response: web.StreamResponse,
    backend_response: _attempt.BackendResponse,
    exchange: _exchange.Exchange,
    target: dispatch.Target,
) -> None:
    for name, value in backend_response.head.forwarded_headers:
        response.headers.add(name, value)
    if exchange.delegated_by is not None:
        is_leaving = backend_response.head.availability.is_leaving
        outcome = _delegated_request.Outcome(
            exchange.possible_runs + 1,
            leaving_server=target.process if is_leaving else None,
        )
        outcome.add_to(response.headers)
