"""Handlers of the operators' interface; `docs/INTERFACES.md` lists them."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

from aiohttp import web

from lagooncrank import clock
from lagooncrank import model
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.core import membership as core_membership
from lagooncrank.core import state
from lagooncrank.server import _interfaces
from lagooncrank.server import _revision_reports
from lagooncrank.server.http import _operator_requests as requests
from lagooncrank.server.http import _operator_views as views

#: How long a change may wait for the quorum.
PROPOSE_TIMEOUT_MS = 5_000
#: How long a read waits until this node has all that was committed.
READ_TIMEOUT_MS = 2_000

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class OperatorHandlers:
    """Answers operators; every handler asks for an operator key."""

    def __init__(
        self,
        process_settings: settings.ProcessSettings,
        shared: _interfaces.SharedState,
        links: _interfaces.PeerLinks,
        membership: core_membership.Membership,
        revision_exchange: _revision_reports.RevisionExchange,
        time: clock.Clock,
    ) -> None:
        self._settings = process_settings
        self._digests = process_settings.operator_key_sha256s
        self._shared = shared
        self._links = links
        self._membership = membership
        self._revision_reports = revision_exchange
        self._clock = time

    def routes(self) -> Sequence[web.AbstractRouteDef]:
        """Returns the routes to mount."""
        guarded = self._guarded
        return [
            web.get("/v1/status", guarded(self._status)),
            web.get("/v1/config", guarded(self._config)),
            web.post("/v1/config", guarded(self._change)),
            web.get("/v1/config/history", guarded(self._history)),
            web.get("/v1/config/in-force", guarded(self._in_force)),
            web.get(r"/v1/config/{revision:\d+}", guarded(self._revision)),
            web.get("/v1/accounts", guarded(self._accounts)),
            web.get("/v1/replicas", guarded(self._replicas)),
            web.get("/v1/backends", guarded(self._backends)),
            web.get("/v1/drain", guarded(self._drains)),
            web.post("/v1/drain", guarded(self._drain)),
            web.delete("/v1/drain/{instance_id}", guarded(self._end_drain)),
            web.get("/v1/quarantine", guarded(self._quarantine)),
            web.delete(
                "/v1/quarantine/{digest:[0-9a-fA-F]+}", guarded(self._lift)
            ),
        ]

    def _guarded(self, handler: _Handler) -> _Handler:
        async def checked(request: web.Request) -> web.StreamResponse:
            requests.authenticate(request, self._digests)
            return await handler(request)

        return checked

    async def _status(self, request: web.Request) -> web.StreamResponse:
        return web.json_response(
            views.status(
                self._settings,
                self._shared,
                self._links,
                self._membership.live_members(self._clock.now_ms()),
            )
        )

    async def _config(self, request: web.Request) -> web.StreamResponse:
        await self._confirm_read()
        record = self._shared.view.configuration
        if record is None:
            raise results.error(
                results.ResultCode.NO_CONFIGURATION,
                "nothing was applied yet; apply declarations with base "
                "revision 0",
            )
        return web.json_response(views.configuration(record))

    async def _history(self, request: web.Request) -> web.StreamResponse:
        await self._confirm_read()
        history = self._shared.view.history()
        return web.json_response([views.revision_line(r) for r in history])

    async def _revision(self, request: web.Request) -> web.StreamResponse:
        await self._confirm_read()
        wanted = int(request.match_info["revision"])
        history = self._shared.view.history()
        for record in history:
            if record.revision == wanted:
                return web.json_response(views.configuration(record))
        kept = ", ".join(str(r.revision) for r in history) or "none"
        raise results.error(
            results.ResultCode.UNKNOWN_RESOURCE,
            f"revision {wanted} is not kept; kept revisions: {kept}",
        )

    async def _in_force(self, request: web.Request) -> web.StreamResponse:
        record = self._shared.view.configuration
        current = record.revision if record else 0
        asked = request.query.get("revision", str(current))
        if not asked.isascii() or not asked.isdigit():
            raise results.error(
                results.ResultCode.MALFORMED_REQUEST,
                f"revision is {asked!r}, must be a whole number",
            )
        nodes = [node.node_id for node in self._settings.nodes]
        answer = await self._revision_reports.rollout_status(int(asked), nodes)
        return web.json_response(model.to_builtins(answer))

    async def _change(self, request: web.Request) -> web.StreamResponse:
        change = await self._read_change(request)
        outcome = await self._propose(
            state.ApplyDeclarations(
                change_id=change.change_id,
                base_revision=change.base_revision,
                declarations=change.declarations,
                author=change.author,
                wall_ms=self._clock.wall_ms(),
            )
        )
        return web.json_response(
            {"code": results.ResultCode.OK, "revision": outcome.revision}
        )

    async def _read_change(
        self, request: web.Request
    ) -> requests.ChangeRequest:
        change = await requests.read_json(request, requests.ChangeRequest)
        if not change.change_id or not change.author:
            raise results.error(
                results.ResultCode.MALFORMED_REQUEST,
                "change_id and author must not be empty",
            )
        problems = settings.check_declarations(change.declarations)
        if problems:
            raise results.error(
                results.ResultCode.INVALID_DECLARATIONS,
                "; ".join(f"{p.field}: {p.message}" for p in problems),
            )
        return change

    async def _accounts(self, request: web.Request) -> web.StreamResponse:
        record = self._shared.view.configuration
        return web.json_response(views.accounts(record))

    async def _replicas(self, request: web.Request) -> web.StreamResponse:
        replicas = self._shared.view.replicas
        return web.json_response(views.replicas(replicas))

    async def _backends(self, request: web.Request) -> web.StreamResponse:
        now_ms = self._clock.now_ms()
        members = self._membership.live_members(now_ms)
        return web.json_response(views.backends(members, now_ms))

    async def _drains(self, request: web.Request) -> web.StreamResponse:
        return web.json_response(views.drains(self._shared.view))

    async def _drain(self, request: web.Request) -> web.StreamResponse:
        body = await requests.read_json(request, requests.DrainRequest)
        if not body.instance_id:
            raise results.error(
                results.ResultCode.MALFORMED_REQUEST,
                "instance_id must not be empty",
            )
        return await self._answer_order(
            state.DrainInstance(body.instance_id, self._clock.wall_ms())
        )

    async def _end_drain(self, request: web.Request) -> web.StreamResponse:
        instance_id = model.InstanceId(request.match_info["instance_id"])
        if instance_id not in self._shared.view.drains:
            raise results.error(
                results.ResultCode.UNKNOWN_RESOURCE,
                f"instance {instance_id!r} is not drained; GET /v1/drain "
                "lists those that are",
            )
        return await self._answer_order(state.EndDrain(instance_id))

    async def _quarantine(self, request: web.Request) -> web.StreamResponse:
        crash_records = self._shared.view.crash_records
        return web.json_response(views.quarantine(crash_records))

    async def _lift(self, request: web.Request) -> web.StreamResponse:
        text = request.match_info["digest"]
        try:
            digest = bytes.fromhex(text)
        except ValueError as error:
            raise results.error(
                results.ResultCode.MALFORMED_REQUEST,
                f"{text!r} is no digest: give whole bytes in hexadecimal",
            ) from error
        if digest not in self._shared.view.crash_records:
            raise results.error(
                results.ResultCode.UNKNOWN_RESOURCE,
                f"no content {text} is marked; GET /v1/quarantine lists them",
            )
        return await self._answer_order(state.ClearContentCrashes(digest))

    async def _answer_order(self, command: state.Command) -> web.Response:
        await self._propose(command)
        return web.json_response({"code": results.ResultCode.OK})

    async def _propose(self, command: state.Command) -> state.Outcome:
        outcome = await self._shared.propose(command, PROPOSE_TIMEOUT_MS)
        if not outcome.ok:
            raise results.LagooncrankError(_refusal_of(outcome))
        return outcome

    async def _confirm_read(self) -> None:
        if not await self._shared.confirm_read(READ_TIMEOUT_MS):
            raise results.error(
                results.ResultCode.NO_QUORUM,
                "this node cannot reach a majority of voters, so its answer "
                "could be old; ask another entry",
            )


def _refusal_of(outcome: state.Outcome) -> results.Refusal:
    ran = results.ExecutionStatus.NOT_RUN
    if outcome.code is results.ResultCode.PROPOSAL_LOST:
        ran = results.ExecutionStatus.UNKNOWN
    return results.Refusal(
        outcome.code,
        outcome.reason,
        ran,
        current_revision=outcome.revision or None,
    )
