"""Which entries callers and backend servers use, and announcements."""

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
class EntriesAnswer:
    """Answer of `GET /v1/entries`."""

    entries: list[_interfaces.EntryAddress]
    keep_for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceAnswer:
    """Answer of `POST /v1/announce`."""

    entries: list[str]
    code: int = results.ResultCode.OK.value
    interval_ms: int = ANNOUNCE_INTERVAL_MS


class EntryHandlers:
    """Answers `/v1/entries` and `/v1/announce`."""

    def __init__(
        self,
        directory: _entries.EntryDirectory,
        table: membership.Membership,
        shared: _interfaces.SharedState,
        limits: settings.LimitSettings,
        clock: clocks.Clock,
    ) -> None:
        self._directory = directory
        self._table = table
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
        wanted = request.query.get("failure_domain")
        domain = model.FailureDomainId(wanted) if wanted else None
        record = self._shared.view.configuration
        leases = record.declarations.leases if record else model.LeaseRules()
        answer = EntriesAnswer(
            self._directory.addresses(domain), leases.entries_keep_for_ms
        )
        return _json(answer)

    async def _announce(self, request: web.Request) -> web.StreamResponse:
        body = await _body.read(request, self._limits)
        announcement = _decode(body)
        refusal = self._table.record_announcement(
            announcement, self._clock.now_ms()
        )
        if refusal is not None:
            raise results.LagooncrankError(refusal)
        entries = self._directory.addresses(announcement.failure_domain_id)
        return _json(AnnounceAnswer([entry.address for entry in entries]))


def _decode(body: bytes) -> model.Announcement:
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        refusal = results.Refusal(
            results.ResultCode.INVALID_ANNOUNCEMENT, f"announcement: {error}"
        )
        raise results.LagooncrankError(refusal) from error


def _json(answer: EntriesAnswer | AnnounceAnswer) -> web.Response:
    body = msgspec.json.encode(answer)
    return web.Response(body=body, content_type="application/json")
