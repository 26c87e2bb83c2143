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

#: How long a change may wait for a quorum.
PROPOSE_TIMEOUT_MS = 5_000
#: How long a read may wait until this node has applied all committed changes.
READ_TIMEOUT_MS = 2_000

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class OperatorHandlers:
    """Handles operators' requests; each must carry an operator key."""

    def __init__(
        self,
        process_settings: settings.ProcessSettings,
        shared: _interfaces.SharedState,
        links: _interfaces.PeerLinks,
        membership: core_membership.Membership,
        revision_exchange: _revision_reports.RevisionExchange,
        clock_: clock.Clock,
    ) -> None:
        self._settings = process_settings
        self._digests = process_settings.operator_key_sha256s
        self._shared = shared
        self._links = links
        self._membership = membership
        self._revision_exchange = revision_exchange
        self._clock = clock_

    def routes(self) -> Sequence[web.AbstractRouteDef]:
        """Returns the routes to mount."""
        authenticated = self._authenticated
        return [
            web.get("/v1/status", authenticated(self._status)),
            web.get("/v1/config", authenticated(self._current_configuration)),
            web.post("/v1/config", authenticated(self._apply_declarations)),
            web.get("/v1/config/history", authenticated(self._history)),
            web.get("/v1/config/in-force", authenticated(self._rollout_status)),
            web.get(
                r"/v1/config/{revision:\d+}", authenticated(self._revision)
            ),
            web.get("/v1/accounts", authenticated(self._accounts)),
            web.get("/v1/replicas", authenticated(self._replicas)),
            web.get("/v1/backends", authenticated(self._backends)),
            web.get("/v1/drain", authenticated(self._drains)),
            web.post("/v1/drain", authenticated(self._drain)),
            web.delete(
                "/v1/drain/{instance_id}", authenticated(self._end_drain)
            ),
            web.get("/v1/quarantine", authenticated(self._quarantine)),
            web.delete(
                "/v1/quarantine/{digest:[0-9a-fA-F]+}",
                authenticated(self._clear_crash_records),
            ),
        ]

    def _authenticated(self, handler: _Handler) -> _Handler:
        async def authenticate_and_handle(
            request: web.Request,
        ) -> web.StreamResponse:
            requests.authenticate(request, self._digests)
            return await handler(request)

        return authenticate_and_handle

    async def _status(self, request: web.Request) -> web.StreamResponse:
        return web.json_response(
            views.status(
                self._settings,
                self._shared,
                self._links,
                self._membership.live_members(self._clock.now_ms()),
            )
        )

    async def _current_configuration(
        self, request: web.Request
    ) -> web.StreamResponse:
        await self._confirm_read()
        record = self._shared.view.configuration
        if record is None:
            raise results.error(
                results.ResultCode.NO_CONFIGURATION,
                "no declarations were applied yet; apply declarations with "
                "base revision 0",
            )
        return web.json_response(views.configuration(record))

    async def _history(self, request: web.Request) -> web.StreamResponse:
        await self._confirm_read()
        history = self._shared.view.history()
        return web.json_response([views.revision_summary(r) for r in history])

    async def _revision(self, request: web.Request) -> web.StreamResponse:
        await self._confirm_read()
        revision = int(request.match_info["revision"])
        history = self._shared.view.history()
        for record in history:
            if record.revision == revision:
                return web.json_response(views.configuration(record))
        kept_revisions = ", ".join(str(r.revision) for r in history) or "none"
        raise results.error(
            results.ResultCode.UNKNOWN_RESOURCE,
            f"revision {revision} is not kept; kept revisions: "
            f"{kept_revisions}",
        )

    async def _rollout_status(self, request: web.Request) -> web.StreamResponse:
        record = self._shared.view.configuration
        current = record.revision if record else 0
        revision_text = request.query.get("revision", str(current))
        if not revision_text.isascii() or not revision_text.isdigit():
            raise results.error(
                results.ResultCode.MALFORMED_REQUEST,
                f"revision is {revision_text!r}, must be a whole number",
            )
        nodes = [node.node_id for node in self._settings.nodes]
        rollout_status = await self._revision_exchange.rollout_status(
            int(revision_text), nodes
        )
        return web.json_response(model.to_builtins(rollout_status))

    async def _apply_declarations(
        self, request: web.Request
    ) -> web.StreamResponse:
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
        return await self._propose_and_confirm(
            state.DrainInstance(body.instance_id, self._clock.wall_ms())
        )

    async def _end_drain(self, request: web.Request) -> web.StreamResponse:
        instance_id = model.InstanceId(request.match_info["instance_id"])
        if instance_id not in self._shared.view.drains:
            raise results.error(
                results.ResultCode.UNKNOWN_RESOURCE,
                f"instance {instance_id!r} is not drained; GET /v1/drain "
                "lists the drained instances",
            )
        return await self._propose_and_confirm(state.EndDrain(instance_id))

    async def _quarantine(self, request: web.Request) -> web.StreamResponse:
        crash_records = self._shared.view.crash_records
        return web.json_response(views.quarantine(crash_records))

    async def _clear_crash_records(
        self, request: web.Request
    ) -> web.StreamResponse:
        digest_hex = request.match_info["digest"]
        try:
            digest = bytes.fromhex(digest_hex)
        except ValueError as error:
            raise results.error(
                results.ResultCode.MALFORMED_REQUEST,
                f"{digest_hex!r} is not a digest: send whole bytes in "
                "hexadecimal",
            ) from error
        if digest not in self._shared.view.crash_records:
            raise results.error(
                results.ResultCode.UNKNOWN_RESOURCE,
                f"content {digest_hex} is not in quarantine; GET "
                "/v1/quarantine lists the contents that are",
            )
        return await self._propose_and_confirm(
            state.ClearContentCrashes(digest)
        )

    async def _propose_and_confirm(
        self, command: state.Command
    ) -> web.Response:
        await self._propose(command)
        return web.json_response({"code": results.ResultCode.OK})

    async def _propose(self, command: state.Command) -> state.Outcome:
        outcome = await self._shared.propose(command, PROPOSE_TIMEOUT_MS)
        if not outcome.ok:
            raise results.LagooncrankError(_to_refusal(outcome))
        return outcome

    async def _confirm_read(self) -> None:
        if not await self._shared.confirm_read(READ_TIMEOUT_MS):
            raise results.error(
                results.ResultCode.NO_QUORUM,
                "this node cannot reach a majority of the voters, so its data "
                "may be outdated; retry at another entry",
            )


def _to_refusal(outcome: state.Outcome) -> results.Refusal:
    execution_status = results.ExecutionStatus.NOT_RUN
    if outcome.code is results.ResultCode.PROPOSAL_LOST:
        execution_status = results.ExecutionStatus.UNKNOWN
    return results.Refusal(
        outcome.code,
        outcome.reason,
        execution_status,
        current_revision=outcome.revision or None,
    )
