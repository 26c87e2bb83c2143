"""An entry's copy of the list of entries that callers may use."""

from typing import Final

from lagooncrank.core.fleet import _nodes

#: Time for which an entry that receives no new list from a control node returns
#: the last one. Control nodes restart within this time, and a caller that
#: receives no list queries up to three nodes before it uses its older list.
MAX_AGE_MS: Final = 10_000


class CachedEntryList:
    """Newest list of open entries that a control node sent, and its age."""

    def __init__(self) -> None:
        self._entries: tuple[_nodes.OpenEntry, ...] = ()
        self._received_ms = 0

    def update(
        self, entries: tuple[_nodes.OpenEntry, ...], now_ms: int
    ) -> None:
        """Replaces the list by one that a control node sent."""
        self._entries = entries
        self._received_ms = now_ms

    def entries_for_callers(
        self, now_ms: int, stopping: str = ""
    ) -> tuple[_nodes.OpenEntry, ...]:
        """Returns the entries to report to callers; none if the list expired.

        Args:
            now_ms: Monotonic time in milliseconds.
            stopping: Address of an entry to leave out, as it is known to stop
                while the list still contains it.
        """
        if now_ms - self._received_ms > MAX_AGE_MS:
            return ()
        return tuple(e for e in self._entries if e.address != stopping)
