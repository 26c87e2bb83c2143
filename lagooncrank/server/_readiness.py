"""Readiness of an entry: whether callers should be sent to it."""

from typing import Final

from lagooncrank import clock as clocks
from lagooncrank.server import _interfaces

#: Time in which a started or resumed entry learns of all backend servers.
WARM_UP_MS: Final = 1_500
#: A longer gap between checks means that the process was paused.
MAX_CHECK_GAP_MS: Final = 1_500


class Readiness:
    """Detects when an entry has warmed up after a start, partition or pause.

    An entry that has just regained its lease does not yet know which backend
    servers are live, and would refuse requests that others can serve.
    """

    def __init__(
        self, shared: _interfaces.SharedState, clock: clocks.Clock
    ) -> None:
        self._shared = shared
        self._clock = clock
        self._lease_since_ms: int | None = None
        self._checked_ms = clock.now_ms()

    def check(self) -> bool:
        """Returns whether the entry has warmed up.

        It must be called more often than every `MAX_CHECK_GAP_MS`.
        """
        now_ms = self._clock.now_ms()
        was_paused = now_ms - self._checked_ms > MAX_CHECK_GAP_MS
        self._checked_ms = now_ms
        if not self._may_accept_work():
            self._lease_since_ms = None
            return False
        if self._lease_since_ms is None or was_paused:
            self._lease_since_ms = now_ms
        return now_ms - self._lease_since_ms >= WARM_UP_MS

    def _may_accept_work(self) -> bool:
        if self._shared.view.configuration is None:
            return False
        return self._shared.lease_holds()
