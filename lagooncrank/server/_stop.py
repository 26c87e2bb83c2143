"""Planned stop of an entry."""

import asyncio

import logbook

from lagooncrank import model
from lagooncrank.server import _entries
from lagooncrank.server import _interfaces
from lagooncrank.server import _lifecycle

#: Maximum time for which a partitioned peer may still list this entry.
PEER_NOTICE_MS = _entries.STATE_LIFETIME_MS

_log = logbook.Logger(__name__)


class PlannedStop:
    """Takes an entry out of service without interrupting a request.

    The entry is first removed from the responses of `/v1/entries`. During the
    notice period, in which callers may still use a response that lists it, it
    serves new requests. Then it refuses them and waits for the requests in
    flight, at most until the stop deadline.
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
        self._skip_notice = asyncio.Event()

    def skip_notice_period(self) -> None:
        """Ends the notice period.

        The stop still waits for the requests in flight.
        """
        self._skip_notice.set()

    async def run(self) -> bool:
        """Runs through all phases of the stop.

        Returns:
            Whether all requests ended before the stop deadline.
        """
        self._lifecycle.enter(_lifecycle.Phase.LEAVING)
        self._directory.publish_state()
        notice_ms = self.notice_period_ms()
        _log.info("leaving the entry list", extra={"keep_for_ms": notice_ms})
        await _wait_for(self._skip_notice, notice_ms)
        self._lifecycle.enter(_lifecycle.Phase.DRAINING)
        in_flight = self._lifecycle.in_flight
        _log.info("refusing new requests", extra={"in_flight": in_flight})
        return await _wait_for(self._lifecycle.idle, self._deadline_ms)

    def notice_period_ms(self) -> int:
        """Returns how long callers may still use an earlier entry list."""
        history = self._shared.view.history()
        keep_for_ms = [
            r.declarations.leases.entries_keep_for_ms for r in history
        ]
        default_ms = model.LeaseRules().entries_keep_for_ms
        return max(keep_for_ms, default=default_ms) + PEER_NOTICE_MS


async def _wait_for(event: asyncio.Event, timeout_ms: int) -> bool:
    """Waits for an event and returns whether it was set in time."""
    try:
        async with asyncio.timeout(timeout_ms / 1_000):
            await event.wait()
    except TimeoutError:
        return False
    return True
