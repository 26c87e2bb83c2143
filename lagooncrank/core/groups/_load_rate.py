"""Limits the rate of loads from the weight store across leaderships."""

from typing import Final

from lagooncrank import clock as clocks
from lagooncrank.core import windows

#: Share of the limit that one leader uses. The previous leader may have used
#: as much within the same window.
LEADER_SHARE: Final = 0.45


class LoadRateLimiter:
    """Limits the loads that this leader starts in a sliding window."""

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._started = windows.SlidingWindow(window_ms)

    def available_loads(self, loads_per_s: float, now_ms: int) -> int:
        """Returns how many loads may start now."""
        loads = loads_per_s * LEADER_SHARE * self._window_ms / clocks.MS_PER_S
        allowed = int(loads)
        return max(allowed - self._started.count(now_ms), 0)

    def record(self, loads: int, now_ms: int) -> None:
        """Records loads that start now."""
        self._started.record(now_ms, loads)
