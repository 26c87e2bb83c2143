"""Handler of calls of plain services."""

import asyncio
from collections.abc import Sequence
import hashlib
from typing import Protocol

from aiohttp import web
import multidict

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.server import _plain_calls
from lagooncrank.server import _plain_client
from lagooncrank.server import _relayed_responses
from lagooncrank.server.http import _auth
from lagooncrank.server.http import _body
from lagooncrank.server.http import _completions
from lagooncrank.server.http import _readiness_gate
from lagooncrank.server.http import _request_ids

KEY_HEADER = "Idempotency-Key"
MAX_KEY_LENGTH = 256
PREFIX = "/v1/services/"


class CallRunner(Protocol):
    """Runs the calls of one kind of plain service."""

    async def run(
        self, call: _plain_calls.PlainCall
    ) -> _plain_client.PlainResponse:
        """Returns the response of the service.

        Raises:
            LagooncrankError: The call was refused or its response was lost.
        """


class ServiceHandlers:
    """Handles `/v1/services/{name}/{path}`."""

    def __init__(
        self,
        gate: _readiness_gate.ReadinessGate,
        repeatable: CallRunner,
        at_most_once: CallRunner,
        limits: settings.LimitSettings,
        ids: _request_ids.RequestIds,
        clock: clocks.Clock,
    ) -> None:
        self._gate = gate
        self._repeatable = repeatable
        self._at_most_once = at_most_once
        self._limits = limits
        self._ids = ids
        self._clock = clock
        self._running: set[asyncio.Future[_plain_client.PlainResponse]] = set()

    def routes(self) -> Sequence[web.AbstractRouteDef]:
        """Returns the routes to mount."""
        return [web.route("*", PREFIX + "{name}/{path:.*}", self._call)]

    async def _call(self, request: web.Request) -> web.StreamResponse:
        with self._gate.accept_request(request) as account:
            service = self._find_service(request.match_info["name"])
            _auth.check_allowed(account, service.name)
            key = _idempotency_key(request, service)
            body = await _body.read(request, self._limits)
            call = self._build_call(request, account, service, key, body)
            if service.repeatable:
                response = await self._repeatable.run(call)
            else:
                response = await self._run_at_most_once(call)
        return _relayed_responses.RelayedResponse(
            status=response.status,
            headers=multidict.CIMultiDict(response.headers),
            body=response.body,
        )

    async def _run_at_most_once(
        self, call: _plain_calls.PlainCall
    ) -> _plain_client.PlainResponse:
        """Completes and records a call even if its caller disconnects."""

        async def run() -> _plain_client.PlainResponse:
            with self._gate.count_in_flight():
                return await self._at_most_once.run(call)

        future = asyncio.ensure_future(run())
        self._running.add(future)
        future.add_done_callback(self._running.discard)
        return await asyncio.shield(future)

    def _find_service(self, name: str) -> model.PlainService:
        services = (
            self._gate.current_configuration().declarations.plain_services
        )
        for service in services:
            if service.name == name:
                return service
        known_names = ", ".join(s.name for s in services) or "none"
        raise results.error(
            results.ResultCode.UNKNOWN_SERVICE,
            f"no plain service is named {name!r}; known: {known_names}",
        )

    def _build_call(
        self,
        request: web.Request,
        account: model.ClientAccount,
        service: model.PlainService,
        key: str,
        body: bytes,
    ) -> _plain_calls.PlainCall:
        raw_path = request.rel_url.raw_path_qs
        path_qs = "/" + raw_path.removeprefix(PREFIX).partition("/")[2]
        call_head = f"{request.method}\n{path_qs}\n".encode()
        timeout_ms = _completions.requested_timeout_ms(request)
        headers = _plain_client.end_to_end_headers(request.headers)
        id_header = (_request_ids.HEADER, _request_ids.assigned_id(request))
        other_headers = [h for h in headers if h[0] != _request_ids.HEADER]
        return _plain_calls.PlainCall(
            request_id=self._ids.next_id(),
            account=account,
            service=service,
            idempotency_key=key,
            digest=hashlib.sha256(call_head + body).digest(),
            request=_plain_client.PlainRequest(
                request.method, path_qs, (*other_headers, id_header), body
            ),
            deadline_ms=self._clock.now_ms() + timeout_ms,
        )


def _idempotency_key(request: web.Request, service: model.PlainService) -> str:
    key = request.headers.get(KEY_HEADER, "")
    if not key and not service.repeatable:
        raise results.error(
            results.ResultCode.KEY_REQUIRED,
            f"calls of {service.name!r} run at most once; send an "
            f"{KEY_HEADER} header, and the same key with each retry",
        )
    if len(key) > MAX_KEY_LENGTH:
        raise results.error(
            results.ResultCode.MALFORMED_REQUEST,
            f"{KEY_HEADER} is longer than {MAX_KEY_LENGTH} characters",
        )
    return key
