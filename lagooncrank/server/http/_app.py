"""Builds the HTTP application of an entry."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Protocol

from aiohttp import web
import logbook

from lagooncrank import results
from lagooncrank import settings
from lagooncrank.server import _metrics
from lagooncrank.server.http import _problem
from lagooncrank.server.http import _request_ids

_log = logbook.Logger(__name__)

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

#: Result codes of the errors that aiohttp raises itself, by HTTP status.
_RESULT_CODES = {
    404: results.ResultCode.UNKNOWN_RESOURCE,
    405: results.ResultCode.METHOD_NOT_ALLOWED,
    413: results.ResultCode.REQUEST_TOO_LARGE,
}
#: After a response with one of these codes the connection is closed, as the
#: rest of the request body was not read.
_CLOSING_CODES = frozenset(
    {
        results.ResultCode.REQUEST_TOO_LARGE,
        results.ResultCode.SENDER_TOO_SLOW,
    }
)


class HandlerGroup(Protocol):
    """Related HTTP handlers and their routes."""

    def routes(self) -> Sequence[web.AbstractRouteDef]:
        """Returns the routes to mount."""


class _ErrorMiddleware:
    """Converts every error to a problem response and counts it."""

    def __init__(
        self, ids: _request_ids.RequestIds, metrics: _metrics.Metrics
    ) -> None:
        self._ids = ids
        self._metrics = metrics

    async def handle(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        """Runs a handler; responds with a problem if it fails."""
        request_id = self._ids.assign(request)
        try:
            return await handler(request)
        except results.LagooncrankError as error:
            return self._error_response(error.refusal, request_id)
        except web.HTTPException as error:
            return self._error_response(_to_refusal(error), request_id)
        except asyncio.CancelledError:
            self._metrics.count_error(results.ResultCode.CALLER_GONE)
            raise
        except ConnectionError:
            self._metrics.count_error(results.ResultCode.CALLER_GONE)
            raise
        except Exception:
            _log.exception("unexpected error", extra={"request_id": request_id})
            return self._error_response(_INTERNAL_ERROR, request_id)

    def _error_response(
        self, refusal: results.Refusal, request_id: str
    ) -> web.StreamResponse:
        self._metrics.count_error(refusal.code)
        response = _problem.response(refusal, request_id)
        if refusal.code in _CLOSING_CODES:
            response.force_close()
        return response


_INTERNAL_ERROR = results.Refusal(
    results.ResultCode.INTERNAL_ERROR,
    "unexpected error; the log of the entry has the details under the "
    "request id",
    ran=results.ExecutionStatus.UNKNOWN,
)


def _to_refusal(error: web.HTTPException) -> results.Refusal:
    code = _RESULT_CODES.get(error.status, results.ResultCode.MALFORMED_REQUEST)
    return results.Refusal(code, error.text or error.reason)


def build(
    handlers: Iterable[HandlerGroup],
    limits: settings.LimitSettings,
    ids: _request_ids.RequestIds,
    metrics: _metrics.Metrics,
) -> web.Application:
    """Returns the application with the routes of all handlers."""
    error_middleware = _ErrorMiddleware(ids, metrics)

    @web.middleware
    async def handle_errors(
        request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        return await error_middleware.handle(request, handler)

    app = web.Application(
        middlewares=[handle_errors], client_max_size=limits.request_bytes
    )
    app.on_response_prepare.append(_request_ids.add_response_header)
    for handler_group in handlers:
        app.add_routes(handler_group.routes())
    return app
