"""Counts of what happened within a window that ends now."""

import collections


class SlidingWindow:
    """Times of events, forgotten once they are older than the window.

    >>> window = SlidingWindow(window_ms=1_000)
    >>> window.note(5)
    >>> window.note(10, times=2)
    >>> window.count(1_005), window.count(1_006)
    (3, 2)
    """

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._noted_ms: collections.deque[int] = collections.deque()

    def note(self, now_ms: int, times: int = 1) -> None:
        """Takes events that happen now."""
        self._forget_old(now_ms)
        self._noted_ms.extend([now_ms] * times)

    def count(self, now_ms: int) -> int:
        """Returns how many events the window holds."""
        self._forget_old(now_ms)
        return len(self._noted_ms)

    def _forget_old(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._window_ms
        while self._noted_ms and self._noted_ms[0] < oldest_ms:
            self._noted_ms.popleft()
