"""Handlers of the OpenAI-compatible completion endpoints."""

from collections.abc import Sequence
import contextlib
import hashlib

from aiohttp import web

from lagooncrank import model
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.server import _completion
from lagooncrank.server import _completion_run
from lagooncrank.server import _token_batches
from lagooncrank.server import _watchdog
from lagooncrank.server.http import _auth
from lagooncrank.server.http import _body
from lagooncrank.server.http import _completion_requests as requests
from lagooncrank.server.http import _event_stream
from lagooncrank.server.http import _readiness_gate
from lagooncrank.server.http import _request_ids
from lagooncrank.server.http import _response_formats

DEADLINE_HEADER = "X-Deadline-Ms"
DEFAULT_TIMEOUT_MS = 120_000
MAX_TIMEOUT_MS = 3_600_000
#: Longest number in the timeout header; the language refuses to convert
#: numbers of several thousand digits.
MAX_TIMEOUT_DIGITS = 18


class CompletionHandlers:
    """Handles `/v1/completions`, `/v1/chat/completions` and `/v1/models`."""

    def __init__(
        self,
        gate: _readiness_gate.ReadinessGate,
        context: _completion.CompletionContext,
        limits: settings.LimitSettings,
        ids: _request_ids.RequestIds,
        watchdog: _watchdog.Watchdog,
    ) -> None:
        self._gate = gate
        self._context = context
        self._limits = limits
        self._ids = ids
        self._watchdog = watchdog

    def routes(self) -> Sequence[web.AbstractRouteDef]:
        """Returns the routes to mount."""
        return [
            web.get("/v1/models", self._list_models),
            web.post("/v1/completions", self._complete),
            web.post("/v1/chat/completions", self._chat),
        ]

    async def _list_models(self, request: web.Request) -> web.StreamResponse:
        with self._gate.accept_request(request) as account:
            services = (
                self._gate.current_configuration().declarations.model_services
            )
            allowed_services = [
                service
                for service in services
                if not account.services or service.name in account.services
            ]
            return web.json_response(
                _response_formats.models_response(allowed_services)
            )

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        with self._gate.accept_request(request) as account:
            body = await _body.read(request, self._limits)
            parameters = requests.decode_completion(body)
            return await self._respond(
                request, account, parameters, _response_formats.TEXT_COMPLETION
            )

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        with self._gate.accept_request(request) as account:
            body = await _body.read(request, self._limits)
            parameters = requests.decode_chat(body)
            return await self._respond(
                request, account, parameters, _response_formats.CHAT_COMPLETION
            )

    async def _respond(
        self,
        request: web.Request,
        account: model.ClientAccount,
        parameters: requests.CompletionParameters,
        response_format: _response_formats.ResponseFormat,
    ) -> web.StreamResponse:
        completion = self._completion_request(request, account, parameters)
        encoder = _response_formats.ResponseEncoder(
            response_format,
            _request_ids.assigned_id(request),
            completion.service.name,
            self._context.clock.wall_ms() // 1_000,
        )
        run = _completion_run.CompletionRun(self._context, completion)
        if parameters.stream:
            return await self._respond_streamed(request, run, encoder)
        return await self._respond_whole(run, completion, encoder)

    async def _respond_streamed(
        self,
        request: web.Request,
        run: _completion_run.CompletionRun,
        encoder: _response_formats.ResponseEncoder,
    ) -> web.StreamResponse:
        event_stream = _event_stream.EventStream(
            request,
            self._limits,
            self._watchdog,
            self._context.metrics,
        )
        async with contextlib.aclosing(run.batches()) as batches, event_stream:
            try:
                async for batch in batches:
                    await event_stream.write(encoder.encode_chunk(batch))
            except results.LagooncrankError as error:
                if not event_stream.started:
                    raise
                await event_stream.write_error(error.refusal)
            else:
                await event_stream.write(_response_formats.DONE_EVENT)
            return await event_stream.finish()

    async def _respond_whole(
        self,
        run: _completion_run.CompletionRun,
        completion: _completion.CompletionRequest,
        encoder: _response_formats.ResponseEncoder,
    ) -> web.StreamResponse:
        token_batches: list[_token_batches.TokenBatch] = []
        async with contextlib.aclosing(run.batches()) as batches:
            async for batch in batches:
                token_batches.append(batch)
        body = encoder.encode_response(token_batches, completion.prompt_tokens)
        return web.Response(body=body, content_type="application/json")

    def _completion_request(
        self,
        request: web.Request,
        account: model.ClientAccount,
        parameters: requests.CompletionParameters,
    ) -> _completion.CompletionRequest:
        service = self._find_service(parameters.model)
        _auth.check_allowed(account, service.name)
        now_ms = self._context.clock.now_ms()
        limit = service.max_output_tokens
        max_tokens = min(parameters.max_tokens or limit, limit)
        content = f"{service.name}\n{max_tokens}\n{parameters.prompt}"
        return _completion.CompletionRequest(
            request_id=self._ids.next_id(),
            account=account,
            service=service,
            prompt=parameters.prompt,
            prompt_tokens=requests.estimate_tokens(parameters.prompt),
            max_tokens=max_tokens,
            digest=hashlib.sha256(content.encode()).digest(),
            arrived_ms=now_ms,
            deadline_ms=now_ms + requested_timeout_ms(request),
        )

    def _find_service(self, name: str) -> model.ModelService:
        services = (
            self._gate.current_configuration().declarations.model_services
        )
        for service in services:
            if service.name == name:
                return service
        known_names = ", ".join(s.name for s in services) or "none"
        raise results.error(
            results.ResultCode.UNKNOWN_MODEL,
            f"no model service is named {name!r}; known: {known_names}",
        )


def requested_timeout_ms(request: web.Request) -> int:
    """Returns how long the caller waits for the response.

    Raises:
        LagooncrankError: The header is not a positive whole number.
    """
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return DEFAULT_TIMEOUT_MS
    is_number = text.isascii() and text.isdigit()
    is_number = is_number and len(text) <= MAX_TIMEOUT_DIGITS
    if not is_number or int(text) == 0:
        raise results.error(
            results.ResultCode.MALFORMED_REQUEST,
            f"{DEADLINE_HEADER} is {text[:MAX_TIMEOUT_DIGITS]!r}, must be a "
            f"positive number of milliseconds of at most {MAX_TIMEOUT_DIGITS} "
            "digits",
        )
    return min(int(text), MAX_TIMEOUT_MS)
