"""Keeps loads from the weight store under its limit, over all leaders."""

import collections
from typing import Final

#: Part of the limit that one leader uses: the one before it may have used as
#: much within the same window.
LEADER_PART: Final = 0.45


class LoadPace:
    """Counts the loads that this leader has begun in a sliding window."""

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._begun_ms: collections.deque[int] = collections.deque()

    def room(self, loads_per_s: float, now_ms: int) -> int:
        """Returns how many loads may begin now."""
        while self._begun_ms and now_ms - self._begun_ms[0] > self._window_ms:
            self._begun_ms.popleft()
        allowed = int(loads_per_s * LEADER_PART * self._window_ms / 1_000)
        return max(allowed - len(self._begun_ms), 0)

    def note(self, loads: int, now_ms: int) -> None:
        """Counts loads that begin now."""
        self._begun_ms.extend([now_ms] * loads)
