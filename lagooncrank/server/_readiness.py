"""Readiness of an entry: whether callers should be sent to it."""

from typing import Final

from lagooncrank import clock as clocks
from lagooncrank import observed_time
from lagooncrank.server import _interfaces

#: Time in which a started or resumed entry learns of all backend servers; what
#: one that stood still for longer has learned before is outdated.
WARM_UP_MS: Final = 1_500


class Readiness:
    """Detects when an entry has warmed up after a start, partition or pause.

    An entry that has just regained its lease does not yet know which backend
    servers are live, and would refuse requests that others can serve.
    """

    def __init__(
        self,
        shared: _interfaces.SharedState,
        clock: clocks.Clock,
        observed_clock: observed_time.ObservedClock,
    ) -> None:
        self._shared = shared
        self._clock = clock
        self._observed_clock = observed_clock
        self._lease_since_ms: int | None = None
        #: Time that this process had stood still at the last check.
        self._missed_ms = observed_clock.missed_ms

    def check(self) -> bool:
        """Returns whether the entry has warmed up."""
        now_ms = self._clock.now_ms()
        missed_ms = self._observed_clock.missed_ms
        was_paused = missed_ms - self._missed_ms > WARM_UP_MS
        self._missed_ms = missed_ms
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
