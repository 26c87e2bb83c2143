"""Entries that callers may be sent to, as an entry heard of them last."""

from typing import Final

from lagooncrank.core.fleet import _nodes

#: Time for which an entry that hears of no control node names the entries of
#: before. Control nodes start again within this time, and a caller that is
#: given no answer asks up to three nodes before it uses its older answer.
KEEP_ENTRIES_MS: Final = 10_000


class CachedEntryList:
    """The newest list of open entries and its age."""

    def __init__(self) -> None:
        self._entries: tuple[_nodes.OpenEntry, ...] = ()
        self._heard_ms = 0

    def update(
        self, entries: tuple[_nodes.OpenEntry, ...], now_ms: int
    ) -> None:
        """Takes the list that a control node sent."""
        self._entries = entries
        self._heard_ms = now_ms

    def entries_for_callers(
        self, now_ms: int, stopping: str = ""
    ) -> tuple[_nodes.OpenEntry, ...]:
        """Returns the entries to name to callers; none if the list is old.

        Args:
            now_ms: Monotonic time.
            stopping: Address of an entry that is known to stop before the
                list says so.
        """
        if now_ms - self._heard_ms > KEEP_ENTRIES_MS:
            return ()
        return tuple(e for e in self._entries if e.address != stopping)
