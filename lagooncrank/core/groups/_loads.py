"""Keeps loads from the weight store under its limit, over all leaders."""

from typing import Final

from lagooncrank import clock as clocks
from lagooncrank.core import windows

#: Part of the limit that one leader uses: the one before it may have used as
#: much within the same window.
LEADER_PART: Final = 0.45


class LoadRateLimiter:
    """Counts the loads that this leader has begun in a sliding window."""

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._begun = windows.SlidingWindow(window_ms)

    def room(self, loads_per_s: float, now_ms: int) -> int:
        """Returns how many loads may begin now."""
        loads = loads_per_s * LEADER_PART * self._window_ms / clocks.MS_PER_S
        allowed = int(loads)
        return max(allowed - self._begun.count(now_ms), 0)

    def note(self, loads: int, now_ms: int) -> None:
        """Counts loads that begin now."""
        self._begun.record(now_ms, loads)
