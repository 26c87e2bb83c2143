"""Planned stop of an entry."""

import asyncio

import logbook

from lagooncrank import model
from lagooncrank.server import _entries
from lagooncrank.server import _interfaces
from lagooncrank.server import _lifecycle

#: Longest time for which a cut-off peer may still name this entry.
PEER_NOTICE_MS = _entries.STATE_LIFETIME_MS

_log = logbook.Logger(__name__)


class PlannedStop:
    """Takes an entry out of use without cutting off a request.

    The entry leaves the answers of `/v1/entries` first. It serves new work
    until no caller may still hold an answer that names it, then refuses new
    work and waits for the requests in flight, at most for the stop deadline.
    """

    def __init__(
        self,
        lifecycle: _lifecycle.Lifecycle,
        directory: _entries.EntryDirectory,
        shared: _interfaces.SharedState,
        deadline_ms: int,
    ) -> None:
        self._lifecycle = lifecycle
        self._directory = directory
        self._shared = shared
        self._deadline_ms = deadline_ms
        self._hurry = asyncio.Event()

    def skip_notice_period(self) -> None:
        """Ends the wait for callers that may still hold old answers.

        Requests in flight are still waited for.
        """
        self._hurry.set()

    async def run(self) -> bool:
        """Goes through every phase.

        Returns:
            Whether all requests ended before the stop deadline.
        """
        self._lifecycle.enter(_lifecycle.Phase.LEAVING)
        self._directory.publish_state()
        keep_ms = self.notice_period_ms()
        _log.info("leaving the entry list", extra={"keep_for_ms": keep_ms})
        await _ended(self._hurry, keep_ms)
        self._lifecycle.enter(_lifecycle.Phase.DRAINING)
        in_flight = self._lifecycle.in_flight
        _log.info("refusing new work", extra={"in_flight": in_flight})
        return await _ended(self._lifecycle.idle, self._deadline_ms)

    def notice_period_ms(self) -> int:
        """Returns how long a caller may still use an answer given now."""
        history = self._shared.view.history()
        kept = [r.declarations.leases.entries_keep_for_ms for r in history]
        default_ms = model.LeaseRules().entries_keep_for_ms
        return max(kept, default=default_ms) + PEER_NOTICE_MS


async def _ended(event: asyncio.Event, timeout_ms: int) -> bool:
    """Waits for an event and returns whether it came in time."""
    try:
        async with asyncio.timeout(timeout_ms / 1_000):
            await event.wait()
    except TimeoutError:
        return False
    return True
