"""Handlers of the entry list and of announcements of backend servers."""

from collections.abc import Sequence
import dataclasses

from aiohttp import web
import msgspec

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.core import membership
from lagooncrank.server import _entries
from lagooncrank.server import _interfaces
from lagooncrank.server.http import _body

ANNOUNCE_INTERVAL_MS = 1_000

_decoder = msgspec.json.Decoder(model.Announcement)


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesResponse:
    """Response body of `GET /v1/entries`."""

    entries: list[_interfaces.EntryAddress]
    keep_for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceResponse:
    """Response body of `POST /v1/announce`."""

    entries: list[str]
    code: int = results.ResultCode.OK.value
    interval_ms: int = ANNOUNCE_INTERVAL_MS


class EntryHandlers:
    """Handles `/v1/entries` and `/v1/announce`."""

    def __init__(
        self,
        directory: _entries.EntryDirectory,
        membership_table: membership.Membership,
        shared: _interfaces.SharedState,
        limits: settings.LimitSettings,
        clock: clocks.Clock,
    ) -> None:
        self._directory = directory
        self._membership_table = membership_table
        self._shared = shared
        self._limits = limits
        self._clock = clock

    def routes(self) -> Sequence[web.AbstractRouteDef]:
        """Returns the routes to mount."""
        return [
            web.get("/v1/entries", self._entries),
            web.post("/v1/announce", self._announce),
        ]

    async def _entries(self, request: web.Request) -> web.StreamResponse:
        wanted_domain = request.query.get("failure_domain")
        domain = model.FailureDomainId(wanted_domain) if wanted_domain else None
        record = self._shared.view.configuration
        leases = record.declarations.leases if record else model.LeaseRules()
        response = EntriesResponse(
            self._directory.addresses(domain), leases.entries_keep_for_ms
        )
        return _json_response(response)

    async def _announce(self, request: web.Request) -> web.StreamResponse:
        body = await _body.read(request, self._limits)
        announcement = _decode_announcement(body)
        refusal = self._membership_table.record_announcement(
            announcement, self._clock.now_ms()
        )
        if refusal is not None:
            raise results.LagooncrankError(refusal)
        entries = self._directory.addresses(announcement.failure_domain_id)
        return _json_response(
            AnnounceResponse([entry.address for entry in entries])
        )


def _decode_announcement(body: bytes) -> model.Announcement:
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        refusal = results.Refusal(
            results.ResultCode.INVALID_ANNOUNCEMENT,
            f"invalid announcement: {error}",
        )
        raise results.LagooncrankError(refusal) from error


def _json_response(
    response: EntriesResponse | AnnounceResponse,
) -> web.Response:
    body = msgspec.json.encode(response)
    return web.Response(body=body, content_type="application/json")
