"""Whether callers should be sent to this entry."""

from typing import Final

from lagooncrank import clock as clocks
from lagooncrank.server import _interfaces

#: Time in which a started or resumed entry hears of all backend servers.
WARM_UP_MS: Final = 1_500
#: A longer time without a check means that the process stood still.
MAX_CHECK_GAP_MS: Final = 1_500


class Readiness:
    """Tells when an entry has settled after a start, a cut or a pause.

    An entry that has just regained its lease does not yet know which backend
    servers are live, and would refuse requests that others can serve.
    """

    def __init__(
        self, shared: _interfaces.SharedState, clock: clocks.Clock
    ) -> None:
        self._shared = shared
        self._clock = clock
        self._held_since_ms: int | None = None
        self._checked_ms = clock.now_ms()

    def check(self) -> bool:
        """Returns whether the entry has settled.

        Call it more often than every `MAX_CHECK_GAP_MS`.
        """
        now_ms = self._clock.now_ms()
        stood_still = now_ms - self._checked_ms > MAX_CHECK_GAP_MS
        self._checked_ms = now_ms
        if not self._may_take_work():
            self._held_since_ms = None
            return False
        if self._held_since_ms is None or stood_still:
            self._held_since_ms = now_ms
        return now_ms - self._held_since_ms >= WARM_UP_MS

    def _may_take_work(self) -> bool:
        if self._shared.view.configuration is None:
            return False
        return self._shared.lease_holds()
