"""Number of entries that share what the system may use in all.

A summary of the fleet may miss entries: just after a start, during a cut, or
because entries that stop still serve. So the highest number counts that was
seen for a long time, and none until the first summaries are complete.
"""

import collections
from typing import Final

#: Time for which the highest number is remembered: longer than control nodes
#: are cut off from each other.
MEMORY_MS: Final = 600_000
#: Time from the first summary until one that includes all entries.
SETTLING_MS: Final = 2_500


class SharingEntries:
    """Highest number of open entries that this node has seen recently."""

    def __init__(self) -> None:
        #: Numbers with the times at which they were last seen; each one is
        #: lower than the one before it.
        self._seen: collections.deque[tuple[int, int]] = collections.deque()
        self._first_ms: int | None = None
        self._last_ms = 0
        self._is_remembered = False

    def record(self, entry_count: int, now_ms: int) -> None:
        """Records the number of open entries in a new summary."""
        if self._first_ms is None:
            self._first_ms = now_ms
        self._last_ms = now_ms
        self._add(entry_count, now_ms)

    def remember(self, entry_count: int, now_ms: int) -> None:
        """Records a number that was complete when it was noted.

        Args:
            entry_count: The number; 0 if none was noted.
            now_ms: Monotonic time in milliseconds.
        """
        if entry_count > 0:
            self._is_remembered = True
            self._add(entry_count, now_ms)

    def count(self, now_ms: int) -> int | None:
        """Returns the number of entries; None while it may be too low."""
        if not self._is_settled():
            return None
        while len(self._seen) > 1 and now_ms - self._seen[0][0] > MEMORY_MS:
            self._seen.popleft()
        return self._seen[0][1]

    def _is_settled(self) -> bool:
        if not self._seen:
            return False
        if self._is_remembered:
            return True
        first_ms = self._first_ms
        return first_ms is not None and self._last_ms - first_ms >= SETTLING_MS

    def _add(self, entry_count: int, now_ms: int) -> None:
        if entry_count <= 0:
            # It says nothing: this entry is one, or is about to be.
            return
        while self._seen and self._seen[-1][1] <= entry_count:
            self._seen.pop()
        self._seen.append((now_ms, entry_count))
