"""OpenAI-style model requests."""

from collections.abc import Sequence
import contextlib
import hashlib

from aiohttp import web

from lagooncrank import model
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.server import _draft_run
from lagooncrank.server import _drafts
from lagooncrank.server import _relay
from lagooncrank.server import _watchdog
from lagooncrank.server.http import _auth
from lagooncrank.server.http import _body
from lagooncrank.server.http import _completion_requests as requests
from lagooncrank.server.http import _event_stream
from lagooncrank.server.http import _readiness_gate
from lagooncrank.server.http import _request_ids
from lagooncrank.server.http import _shapes

DEADLINE_HEADER = "X-Deadline-Ms"
DEFAULT_DEADLINE_MS = 120_000
MAX_DEADLINE_MS = 3_600_000


class CompletionHandlers:
    """Answers `/v1/completions`, `/v1/chat/completions` and `/v1/models`."""

    def __init__(
        self,
        gate: _readiness_gate.ReadinessGate,
        parts: _drafts.DraftParts,
        limits: settings.LimitSettings,
        ids: _request_ids.RequestIds,
        watchdog: _watchdog.Watchdog,
    ) -> None:
        self._gate = gate
        self._parts = parts
        self._limits = limits
        self._ids = ids
        self._watchdog = watchdog

    def routes(self) -> Sequence[web.AbstractRouteDef]:
        """Returns the routes to mount."""
        return [
            web.get("/v1/models", self._models),
            web.post("/v1/completions", self._complete),
            web.post("/v1/chat/completions", self._chat),
        ]

    async def _models(self, request: web.Request) -> web.StreamResponse:
        with self._gate.accept_request(request) as account:
            services = (
                self._gate.current_configuration().declarations.model_services
            )
            allowed = [
                service
                for service in services
                if not account.services or service.name in account.services
            ]
            return web.json_response(_shapes.models(allowed))

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        with self._gate.accept_request(request) as account:
            body = await _body.read(request, self._limits)
            asked = requests.decode_completion(body)
            return await self._answer(request, account, asked, _shapes.TEXT)

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        with self._gate.accept_request(request) as account:
            body = await _body.read(request, self._limits)
            asked = requests.decode_chat(body)
            return await self._answer(request, account, asked, _shapes.CHAT)

    async def _answer(
        self,
        request: web.Request,
        account: model.ClientAccount,
        asked: requests.Asked,
        shape: _shapes.Shape,
    ) -> web.StreamResponse:
        draft = self._draft(request, account, asked)
        answer = _shapes.Answer(
            shape,
            _request_ids.of(request),
            draft.service.name,
            self._parts.clock.wall_ms() // 1_000,
        )
        run = _draft_run.DraftRun(self._parts, draft)
        if asked.stream:
            return await self._stream(request, run, answer)
        return await self._collect(run, draft, answer)

    async def _stream(
        self,
        request: web.Request,
        run: _draft_run.DraftRun,
        answer: _shapes.Answer,
    ) -> web.StreamResponse:
        out = _event_stream.EventStream(
            request,
            self._limits,
            self._parts.clock,
            self._watchdog,
            self._parts.metrics,
        )
        async with contextlib.aclosing(run.batches()) as batches, out:
            try:
                async for batch in batches:
                    await out.write(answer.chunk(batch))
            except results.LagooncrankError as error:
                if not out.started:
                    raise
                await out.write_error(error.refusal)
            else:
                await out.write(_shapes.DONE)
            return await out.finished()

    async def _collect(
        self,
        run: _draft_run.DraftRun,
        draft: _drafts.Draft,
        answer: _shapes.Answer,
    ) -> web.StreamResponse:
        parts: list[_relay.TokenBatch] = []
        async with contextlib.aclosing(run.batches()) as batches:
            async for batch in batches:
                parts.append(batch)
        body = answer.whole(parts, draft.prompt_tokens)
        return web.Response(body=body, content_type="application/json")

    def _draft(
        self,
        request: web.Request,
        account: model.ClientAccount,
        asked: requests.Asked,
    ) -> _drafts.Draft:
        service = self._service(asked.model)
        _auth.check_allowed(account, service.name)
        now_ms = self._parts.clock.now_ms()
        limit = service.max_output_tokens
        max_tokens = min(asked.max_tokens or limit, limit)
        content = f"{service.name}\n{max_tokens}\n{asked.prompt}"
        return _drafts.Draft(
            request_id=self._ids.next_id(),
            account=account,
            service=service,
            prompt=asked.prompt,
            prompt_tokens=requests.estimated_tokens(asked.prompt),
            max_tokens=max_tokens,
            digest=hashlib.sha256(content.encode()).digest(),
            arrived_ms=now_ms,
            deadline_ms=now_ms + deadline_ms(request),
        )

    def _service(self, name: str) -> model.ModelService:
        services = (
            self._gate.current_configuration().declarations.model_services
        )
        for service in services:
            if service.name == name:
                return service
        known = ", ".join(s.name for s in services) or "none"
        raise results.error(
            results.ResultCode.UNKNOWN_MODEL,
            f"no model service is named {name!r}; known: {known}",
        )


def deadline_ms(request: web.Request) -> int:
    """Returns how long the caller will wait, in milliseconds.

    Raises:
        LagooncrankError: The header is no positive whole number.
    """
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return DEFAULT_DEADLINE_MS
    if not (text.isascii() and text.isdigit() and int(text) > 0):
        raise results.error(
            results.ResultCode.MALFORMED_REQUEST,
            f"{DEADLINE_HEADER} is {text!r}, must be milliseconds above 0",
        )
    return min(int(text), MAX_DEADLINE_MS)
