"""The HTTP application of one entry."""

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

#: Codes for what aiohttp itself refuses.
_HTTP_CODES = {
    404: results.ResultCode.UNKNOWN_RESOURCE,
    405: results.ResultCode.METHOD_NOT_ALLOWED,
    413: results.ResultCode.REQUEST_TOO_LARGE,
}
#: Codes after which the connection cannot carry another request.
_CLOSING_CODES = frozenset(
    {
        results.ResultCode.REQUEST_TOO_LARGE,
        results.ResultCode.SENDER_TOO_SLOW,
    }
)


class HandlerGroup(Protocol):
    """A group of HTTP handlers."""

    def routes(self) -> Sequence[web.AbstractRouteDef]:
        """Returns the routes to mount."""


class _Errors:
    """Middleware that turns every error into a counted problem."""

    def __init__(
        self, ids: _request_ids.RequestIds, metrics: _metrics.Metrics
    ) -> None:
        self._ids = ids
        self._metrics = metrics

    async def handle(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        """Runs a handler and answers for it when it fails."""
        request_id = self._ids.assign(request)
        try:
            return await handler(request)
        except results.LagooncrankError as error:
            return self._answer(error.refusal, request_id)
        except web.HTTPException as error:
            return self._answer(_refusal_of(error), request_id)
        except asyncio.CancelledError:
            self._metrics.answered_with(results.ResultCode.CALLER_GONE)
            raise
        except ConnectionError:
            self._metrics.answered_with(results.ResultCode.CALLER_GONE)
            raise
        except Exception:
            _log.exception("unexpected error", extra={"request_id": request_id})
            return self._answer(_INTERNAL_ERROR, request_id)

    def _answer(
        self, refusal: results.Refusal, request_id: str
    ) -> web.StreamResponse:
        self._metrics.answered_with(refusal.code)
        response = _problem.response(refusal, request_id)
        if refusal.code in _CLOSING_CODES:
            response.force_close()
        return response


_INTERNAL_ERROR = results.Refusal(
    results.ResultCode.INTERNAL_ERROR,
    "an unexpected error; the entry's log holds it under the request id",
    ran=results.Ran.UNKNOWN,
)


def _refusal_of(error: web.HTTPException) -> results.Refusal:
    code = _HTTP_CODES.get(error.status, results.ResultCode.MALFORMED_REQUEST)
    return results.Refusal(code, error.text or error.reason)


def build(
    handlers: Iterable[HandlerGroup],
    limits: settings.LimitSettings,
    ids: _request_ids.RequestIds,
    metrics: _metrics.Metrics,
) -> web.Application:
    """Returns the application with every handler mounted."""
    errors = _Errors(ids, metrics)

    @web.middleware
    async def handle_errors(
        request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        return await errors.handle(request, handler)

    app = web.Application(
        middlewares=[handle_errors], client_max_size=limits.request_bytes
    )
    app.on_response_prepare.append(_request_ids.put_on_answer)
    for group in handlers:
        app.add_routes(group.routes())
    return app
