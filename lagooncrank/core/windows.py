"""Event counts over a sliding time window."""

import collections


class SlidingWindow:
    """Counts the events of the last `window_ms` milliseconds.

    >>> window = SlidingWindow(window_ms=1_000)
    >>> window.record(5)
    >>> window.record(10, times=2)
    >>> window.count(1_005), window.count(1_006)
    (3, 2)
    """

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._event_times_ms: collections.deque[int] = collections.deque()

    def record(self, now_ms: int, times: int = 1) -> None:
        """Records `times` events at the current time."""
        self._evict_expired(now_ms)
        self._event_times_ms.extend([now_ms] * times)

    def count(self, now_ms: int) -> int:
        """Returns the number of events within the window."""
        self._evict_expired(now_ms)
        return len(self._event_times_ms)

    def _evict_expired(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._window_ms
        while self._event_times_ms and self._event_times_ms[0] < oldest_ms:
            self._event_times_ms.popleft()
