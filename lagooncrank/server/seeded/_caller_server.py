"""HTTP server for callers' requests."""

import asyncio
from typing import Final

from aiohttp import web

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import model
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.core import catalog as catalogs
from lagooncrank.core import dispatch
from lagooncrank.server import _buffer_budget
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _caller_connections
from lagooncrank.server.seeded import _caller_departures
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _delegated_request
from lagooncrank.server.seeded import _documents
from lagooncrank.server.seeded import _entry_metrics
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _forwarding
from lagooncrank.server.seeded import _refusals
from lagooncrank.server.seeded import _response_cuts
from lagooncrank.server.seeded import _response_relay
from lagooncrank.server.seeded import _startup_wait
from lagooncrank.server.seeded import _stop_gate
from lagooncrank.server.seeded import _target_selector

#: Delay before callers should retry while no document is known; a restart of
#: all nodes takes about this long.
NO_DOCUMENT_RETRY_AFTER_MS: Final = 2_000
#: Delay before callers should retry while bodies use up the memory.
NO_MEMORY_RETRY_AFTER_MS: Final = 1_000
#: Refusals before the whole body was read, after which the connection ends.
_BODY_NOT_READ: Final = (
    results.ResultCode.REQUEST_TOO_LARGE,
    results.ResultCode.MEMORY_SPENT,
)


class CallerServer:
    """Validates callers' requests, and returns responses."""

    def __init__(
        self,
        node_settings: settings.SeededSettings,
        codec: _adapter.HttpCodec,
        documents: _documents.DocumentStore,
        connections: _caller_connections.CallerConnections,
        target_selector: _target_selector.TargetSelector,
        retry_budget: dispatch.SharedRetryBudget,
        response_relay: _response_relay.ResponseRelay,
        stop_gate: _stop_gate.StopGate,
        departures: _caller_departures.CallerDepartures,
        cuts: _response_cuts.ResponseCuts,
        metrics: _entry_metrics.EntryMetrics,
        clock: clocks.Clock,
        log: _decision_log.DecisionLog,
    ) -> None:
        self._settings = node_settings
        self._codec = codec
        self._documents = documents
        self._connections = connections
        self._target_selector = target_selector
        self._retry_budget = retry_budget
        self._response_relay = response_relay
        self._stop_gate = stop_gate
        self._departures = departures
        self._cuts = cuts
        self._metrics = metrics
        self._clock = clock
        self._log = log
        #: Bodies of all requests that are held.
        self.bodies = _buffer_budget.BufferBudget.of_memory(
            node_settings.memory_limit_mb
        )

    async def start(self) -> None:
        """Starts to listen for callers."""
        await self._connections.listen(
            self._settings.listen.callers, self._serve
        )

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_ms = self._clock.now_ms()
        request_head: _adapter.RequestHead | None = None
        with self.bodies.open() as buffer:
            try:
                request_head = self.read_head(request)
                await self._wait_for_document(request_head)
                exchange = self._admit(request_head, arrived_ms)
                async with self._stop_gate.limit_wait(exchange, None):
                    exchange.body = await self.read_body(request, buffer)
            except _refusals.ForwardingError as error:
                return self.refuse(request_head, error.refusal)
            return await self.serve_exchange(request, exchange)

    async def serve_exchange(
        self, request: web.BaseRequest, exchange: _exchange.Exchange
    ) -> web.StreamResponse:
        """Forwards an admitted request and returns its response."""
        exchange.connection = request.transport
        try:
            return await self._response_relay.serve(
                request,
                exchange,
                is_closing=lambda: self._connections.is_closing,
            )
        except _refusals.ForwardingError as error:
            return self.refuse(exchange.request_head, error.refusal, exchange)
        except _exchange.CallerLeftError:
            self._departures.record(exchange)
            if request.transport is not None:
                request.transport.abort()
            # Goes nowhere; the HTTP library wants a response.
            return web.Response()
        except asyncio.CancelledError:
            self._log_cancelled(exchange)
            raise
        except ConnectionError:
            # Its connection broke before anything was written.
            self._departures.record(exchange)
            raise
        except Exception as error:
            code = results.ResultCode.INTERNAL_ERROR
            refusal = results.Refusal(
                code, code.meaning, results.ExecutionStatus.UNKNOWN
            )
            # The error may quote what a server sent: it is for the log only.
            return self.refuse(
                exchange.request_head, refusal, exchange, problem=repr(error)
            )

    def read_head(self, request: web.BaseRequest) -> _adapter.RequestHead:
        """Decodes the head of a request.

        Raises:
            ForwardingError: It is malformed.
        """
        headers = tuple(
            (n.decode("latin-1"), v.decode("latin-1"))
            for n, v in request.raw_headers
        )
        try:
            return self._codec.decode_request(
                request.method, request.raw_path, headers
            )
        except _adapter.MalformedRequestError as error:
            code = results.ResultCode.MALFORMED_REQUEST
            raise _refusal_error(code, str(error)) from error

    async def _wait_for_document(
        self, request_head: _adapter.RequestHead
    ) -> None:
        if self._documents.catalog is None:
            await _startup_wait.wait_until(
                lambda: self._documents.catalog is not None,
                _startup_wait.wait_limit_ms(request_head.deadline_ms),
            )

    def _admit(
        self, request_head: _adapter.RequestHead, arrived_ms: int
    ) -> _exchange.Exchange:
        """Finds the route and the client account of a request.

        Raises:
            ForwardingError: No route matches, or the key is not valid.
        """
        catalog = self._documents.catalog
        if catalog is None:
            code = results.ResultCode.NO_CONFIGURATION
            raise _refusal_error(code, code.meaning, NO_DOCUMENT_RETRY_AFTER_MS)
        route = catalog.find_route(request_head.host, request_head.path)
        if route is None:
            code = results.ResultCode.UNKNOWN_RESOURCE
            raise _refusal_error(
                code,
                f"no route for {request_head.host!r} {request_head.path!r} "
                f"in document {catalog.config.version}",
            )
        account = self._authenticate(catalog, route, request_head)
        service = self._target_selector.choose_service(route)
        self._retry_budget.record_request(service, arrived_ms)
        timeout_ms = _forwarding.route_timeout_ms(
            route, request_head.deadline_ms
        )
        return _exchange.Exchange(
            request_head,
            route,
            service,
            arrived_ms,
            arrived_ms + timeout_ms,
            catalog.config.version,
            account,
        )

    def _authenticate(
        self,
        catalog: catalogs.Catalog,
        route: model.Route,
        request_head: _adapter.RequestHead,
    ) -> model.AccountConfig | None:
        account = catalog.find_account(request_head.key)
        if account is None and catalog.requires_keys and not route.is_public:
            code = results.ResultCode.UNAUTHENTICATED
            version = catalog.config.version
            raise _refusal_error(
                code, f"the key is missing, or unknown in document {version}"
            )
        return account

    async def read_body(
        self, request: web.BaseRequest, buffer: _buffer_budget.Buffer
    ) -> bytes:
        """Reads the whole body of a request.

        Args:
            request: The request.
            buffer: Accounts for the body, until its owner closes it.

        Raises:
            ForwardingError: It exceeds the operators' limit, or the memory.
        """
        if not request.can_read_body:
            return b""
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        catalog = self._documents.catalog
        limits = catalog.config.limits if catalog else model.CallerLimits()
        chunks = []
        size_bytes = 0
        async for chunk in request.content.iter_any():
            size_bytes += len(chunk)
            if size_bytes > limits.max_body_bytes:
                code = results.ResultCode.REQUEST_TOO_LARGE
                raise _refusal_error(
                    code, f"over {limits.max_body_bytes} bytes"
                )
            try:
                buffer.resize(size_bytes)
            except _buffer_budget.BufferSpentError as error:
                code = results.ResultCode.MEMORY_SPENT
                raise _refusal_error(
                    code, str(error), NO_MEMORY_RETRY_AFTER_MS
                ) from error
            chunks.append(chunk)
        return b"".join(chunks)

    def refuse(
        self,
        request_head: _adapter.RequestHead | None,
        refusal: results.Refusal,
        exchange: _exchange.Exchange | None = None,
        problem: str = "",
    ) -> web.Response:
        """Returns the response that refuses a request, and logs it.

        Args:
            request_head: The request; None if it is malformed.
            refusal: Why; its reason is the body of the response.
            exchange: State of the request, if it was admitted.
            problem: Logged instead of the reason.
        """
        self._metrics.count_refusal(refusal.code)
        self._log_refusal(
            request_head, refusal, exchange, problem or refusal.reason
        )
        headers = self._codec.refusal_headers(request_head, refusal)
        response = web.Response(
            status=refusal.code.http_status,
            headers=dict(headers),
            body=refusal.reason.encode(),
        )
        if refusal.code in _BODY_NOT_READ:
            # The rest of the body was not read.
            response.force_close()
        if exchange is not None and exchange.delegated_by is not None:
            _delegated_request.Outcome.of_refusal(
                refusal,
                exchange.possible_runs,
                has_arrived=exchange.has_arrived,
            ).add_to(response.headers)
        return response

    def _log_cancelled(self, exchange: _exchange.Exchange) -> None:
        """Logs who ended a request: its caller, or the stop of this entry."""
        if not self._connections.is_stopped:
            self._departures.record(exchange)
            return
        self._cuts.record(
            exchange,
            results.ResultCode.STOPPING,
            "the stop of this entry did not wait any longer",
        )

    def _log_refusal(
        self,
        request_head: _adapter.RequestHead | None,
        refusal: results.Refusal,
        exchange: _exchange.Exchange | None,
        reason: str,
    ) -> None:
        if exchange is None or refusal.ran is results.ExecutionStatus.NOT_RUN:
            request = request_head.attempt_id if request_head else ""
            self._log.record_refusal(refusal.code.name, reason, request)
            return
        self._log.write(
            decisions.Event.FAILED,
            code=refusal.code.name,
            reason=reason,
            **exchange.log_fields(self._clock),
        )


def _refusal_error(
    code: results.ResultCode, reason: str, retry_after_ms: int | None = None
) -> _refusals.ForwardingError:
    return _refusals.ForwardingError(
        results.Refusal(code, reason, retry_after_ms=retry_after_ms)
    )
