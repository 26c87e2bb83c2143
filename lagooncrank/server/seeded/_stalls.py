"""Which backend servers stand still, as this entry and others see it."""

from collections.abc import Callable
from collections.abc import Collection
from typing import Final

from lagooncrank.core import dispatch

#: Longer gaps between two checks mean that this process stood still.
MAX_TICK_MS: Final = 200
#: Time for which another entry's word of a stalled server counts.
TRUST_STALL_MS: Final = 1_500


class Stalls:
    """Watches the streams of this entry and hears of those of others."""

    def __init__(self, now_ms: int) -> None:
        self.progress = dispatch.StreamProgress()
        #: Called with servers that have begun to stand still.
        self.listeners: list[Callable[[frozenset[str]], None]] = []
        #: Servers that stand still as this entry sees it.
        self.here: frozenset[str] = frozenset()
        self._watched_ms = now_ms
        #: Servers that stand still elsewhere, with the time of first notice.
        self._there: dict[str, int] = {}

    def watch(self, now_ms: int) -> frozenset[str]:
        """Looks at the own streams; returns servers that begin to stall."""
        pause_ms = now_ms - self._watched_ms
        self._watched_ms = now_ms
        if pause_ms > MAX_TICK_MS:
            # What came meanwhile is not read yet.
            self.progress.discount_pause(pause_ms, now_ms)
        stalled = self.progress.stalled(now_ms)
        begun = stalled - self.here
        self.here = stalled
        return begun

    def hear(self, stalled: Collection[str], now_ms: int) -> frozenset[str]:
        """Takes what all entries see; returns servers that begin to stall."""
        begun = frozenset(stalled).difference(self._there)
        self._there = {s: self._there.get(s, now_ms) for s in stalled}
        return begun

    def tell(self, begun: frozenset[str]) -> None:
        """Tells the listeners of servers that begin to stall, if any."""
        if begun:
            for listener in self.listeners:
                listener(begun)

    def known(self, now_ms: int) -> set[str]:
        """Returns the servers whose answers stand still, here or elsewhere.

        Word of other entries counts for a while only: by then the leader has
        found out what is wrong.
        """
        there = {
            s for s, at in self._there.items() if now_ms - at < TRUST_STALL_MS
        }
        return there | self.here
