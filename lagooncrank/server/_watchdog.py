"""Timeouts of all open streams, checked by one periodic sweep."""

from collections.abc import Callable

import mode

from lagooncrank import clock as clocks

SWEEP_INTERVAL_S = 0.05


class Watch:
    """A deadline and the callback to call when it passes."""

    __slots__ = ("due_ms", "expire")

    def __init__(self, expire: Callable[[], None]) -> None:
        #: Deadline on the entry's clock; 0 if there is none.
        self.due_ms = 0
        self.expire = expire


class Watchdog(mode.Service):
    """Calls `expire` of every overdue watch.

    Setting `due_ms` for each token is nearly free, whereas a timer per stream
    would have to be started and cancelled for each token.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        super().__init__()
        self._clock = clock
        self._watches: set[Watch] = set()

    def add(self, watch: Watch) -> None:
        """Starts checking a watch."""
        self._watches.add(watch)

    def remove(self, watch: Watch) -> None:
        """Stops checking a watch."""
        self._watches.discard(watch)

    def sweep(self, now_ms: int) -> None:
        """Expires the watches that are overdue at `now_ms`."""
        overdue = [w for w in self._watches if 0 < w.due_ms <= now_ms]
        for watch in overdue:
            watch.due_ms = 0
            watch.expire()

    @mode.Service.task
    async def _sweep_periodically(self) -> None:
        while not self.should_stop:
            self.sweep(self._clock.now_ms())
            await self.sleep(SWEEP_INTERVAL_S)
