"""Takes requests of callers and returns answers."""

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
from lagooncrank.server import _sockets
from lagooncrank.server.seeded import _answering
from lagooncrank.server.seeded import _decisions
from lagooncrank.server.seeded import _documents
from lagooncrank.server.seeded import _entry_metrics
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _forwarding
from lagooncrank.server.seeded import _starting
from lagooncrank.server.seeded import _targets
from lagooncrank.server.seeded import _wire

KEEPALIVE_S: Final = 30.0
MAX_HEADER_LINES: Final = 128
MAX_LINE_BYTES: Final = 32_768
#: Wait of callers while no document is known: a restart of all nodes takes
#: about this long.
NO_DOCUMENT_RETRY_MS: Final = 2_000
SHUTDOWN_S: Final = 0.5


class Front:
    """HTTP server for callers."""

    def __init__(
        self,
        own: settings.SeededSettings,
        codec: _wire.CallCodec,
        documents: _documents.Documents,
        view: _fleet_view.FleetView,
        targets: _targets.Targets,
        allowance: dispatch.SharedRetryBudget,
        answering: _answering.Answering,
        metrics: _entry_metrics.EntryMetrics,
        clock: clocks.Clock,
        log: _decisions.DecisionLog,
    ) -> None:
        self._settings = own
        self._codec = codec
        self._documents = documents
        self._view = view
        self._targets = targets
        self._allowance = allowance
        self._answering = answering
        self._metrics = metrics
        self._clock = clock
        self._log = log
        #: Whether connections are closed after their next answer.
        self.is_closing = False
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._server: web.Server | None = None
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens for callers."""
        self._server = web.Server(
            self._handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_HEADER_LINES,
            auto_decompress=False,
        )
        sock = _sockets.listener(self._settings.listen.callers)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._server, sock=sock)

    async def drain(self, timeout_s: float) -> bool:
        """Waits for the requests in flight; whether all have ended."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def stop(self) -> None:
        """Closes the listening socket and every connection."""
        if self._listener is not None:
            self._listener.close()
        if self._server is not None:
            await self._server.shutdown(SHUTDOWN_S)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._in_flight += 1
        self._idle.clear()
        self._view.has_served = True
        try:
            response = await self._serve(request)
        finally:
            self._in_flight -= 1
            if self._in_flight == 0:
                self._idle.set()
        if self.is_closing:
            response.force_close()
        return response

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_ms = self._clock.now_ms()
        call: _wire.CallHead | None = None
        try:
            call = self._read_head(request)
            await self._wait_for_document(call)
            exchange = self._admit(call, arrived_ms)
            exchange.body = await self._read_body(request)
        except _forwarding.ForwardingError as error:
            return self._refuse(call, error.refusal)
        try:
            return await self._answering.answer(
                request, exchange, closing=self.is_closing
            )
        except _forwarding.ForwardingError as error:
            return self._refuse(call, error.refusal, exchange)
        except asyncio.CancelledError:
            self._log.write(
                decisions.Event.CALLER_LEFT,
                **exchange.log_fields(self._clock),
            )
            raise

    def _read_head(self, request: web.BaseRequest) -> _wire.CallHead:
        headers = tuple(
            (n.decode("latin-1"), v.decode("latin-1"))
            for n, v in request.raw_headers
        )
        try:
            return self._codec.read_call(
                request.method, request.raw_path, headers
            )
        except _wire.MalformedCallError as error:
            code = results.ResultCode.MALFORMED_REQUEST
            raise _refused(code, str(error)) from error

    async def _wait_for_document(self, call: _wire.CallHead) -> None:
        if self._documents.catalog is None:
            await _starting.wait_until(
                lambda: self._documents.catalog is not None,
                _starting.wait_limit_ms(call.deadline_ms),
            )

    def _admit(
        self, call: _wire.CallHead, arrived_ms: int
    ) -> _exchange.Exchange:
        """Finds route and account of a request.

        Raises:
            ForwardingError: It has none.
        """
        catalog = self._documents.catalog
        if catalog is None:
            code = results.ResultCode.NO_CONFIGURATION
            raise _refused(code, code.meaning, NO_DOCUMENT_RETRY_MS)
        route = catalog.find_route(call.host, call.path)
        if route is None:
            code = results.ResultCode.UNKNOWN_RESOURCE
            raise _refused(code, f"no route for {call.host!r} {call.path!r}")
        account = self._account_of(catalog, route, call)
        service = self._targets.service_of(route)
        self._allowance.record_request(service, arrived_ms)
        timeout_ms = _forwarding.route_timeout_ms(route, call.deadline_ms)
        return _exchange.Exchange(
            call,
            route,
            service,
            arrived_ms,
            arrived_ms + timeout_ms,
            catalog.config.version,
            account,
        )

    def _account_of(
        self,
        catalog: catalogs.Catalog,
        route: model.Route,
        call: _wire.CallHead,
    ) -> model.AccountConfig | None:
        account = catalog.find_account(call.key)
        if account is None and catalog.requires_keys and not route.is_public:
            code = results.ResultCode.UNAUTHENTICATED
            raise _refused(code, "the key is missing or unknown")
        return account

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        if not request.can_read_body:
            return b""
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        catalog = self._documents.catalog
        limits = catalog.config.limits if catalog else model.CallerLimits()
        parts = []
        size = 0
        async for part in request.content.iter_any():
            size += len(part)
            if size > limits.max_body_bytes:
                code = results.ResultCode.REQUEST_TOO_LARGE
                raise _refused(code, f"over {limits.max_body_bytes} bytes")
            parts.append(part)
        return b"".join(parts)

    def _refuse(
        self,
        call: _wire.CallHead | None,
        refusal: results.Refusal,
        exchange: _exchange.Exchange | None = None,
    ) -> web.Response:
        self._metrics.refused(refusal.code)
        self._log_refusal(call, refusal, exchange)
        headers = self._codec.refusal_headers(call, refusal)
        response = web.Response(
            status=refusal.code.http_status,
            headers=dict(headers),
            body=refusal.reason.encode(),
        )
        if refusal.code is results.ResultCode.REQUEST_TOO_LARGE:
            # The rest of the body is not read.
            response.force_close()
        return response

    def _log_refusal(
        self,
        call: _wire.CallHead | None,
        refusal: results.Refusal,
        exchange: _exchange.Exchange | None,
    ) -> None:
        if exchange is None or refusal.ran is results.ExecutionStatus.NOT_RUN:
            request = call.attempt_id if call else ""
            self._log.refuse(refusal.code.name, refusal.reason, request)
            return
        self._log.write(
            decisions.Event.FAILED,
            code=refusal.code.name,
            reason=refusal.reason,
            **exchange.log_fields(self._clock),
        )


def _refused(
    code: results.ResultCode, reason: str, retry_after_ms: int | None = None
) -> _forwarding.ForwardingError:
    return _forwarding.ForwardingError(
        results.Refusal(code, reason, retry_after_ms=retry_after_ms)
    )
