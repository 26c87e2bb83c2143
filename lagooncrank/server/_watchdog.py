"""Timeouts of all open streams, checked by one periodic sweep."""

from collections.abc import Callable

import mode

from lagooncrank import clock as clocks
from lagooncrank import observed_time

SWEEP_INTERVAL_S = 0.05


class Watch:
    """Limits of one wait, and the callback to call when one passes."""

    __slots__ = ("due_ms", "expire", "silent_due_ms")

    def __init__(self, expire: Callable[[], None]) -> None:
        #: Deadline on the entry's clock; 0 if there is none.
        self.due_ms = 0
        #: Observed time until which the other side may be silent; 0 for no
        #: limit.
        self.silent_due_ms = 0
        self.expire = expire

    def clear(self) -> None:
        """Ends the wait."""
        self.due_ms = 0
        self.silent_due_ms = 0


class Watchdog(mode.Service):
    """Calls `expire` of every overdue watch.

    Setting `due_ms` for each token is nearly free, whereas a timer per stream
    would have to be started and cancelled for each token.
    """

    def __init__(
        self, clock: clocks.Clock, observed_clock: observed_time.ObservedClock
    ) -> None:
        super().__init__()
        self._clock = clock
        self._observed_clock = observed_clock
        self._watches: set[Watch] = set()

    def add(self, watch: Watch) -> None:
        """Starts checking a watch."""
        self._watches.add(watch)

    def remove(self, watch: Watch) -> None:
        """Stops checking a watch."""
        self._watches.discard(watch)

    def limit_silence(self, watch: Watch, duration_ms: int) -> None:
        """Lets a watch expire after a duration of observed time."""
        watch.silent_due_ms = self._observed_clock.now_ms() + duration_ms

    def sweep(self) -> None:
        """Expires the watches that are overdue."""
        now_ms = self._clock.now_ms()
        observed_ms = self._observed_clock.now_ms()
        overdue = [
            w
            for w in self._watches
            if 0 < w.due_ms <= now_ms or 0 < w.silent_due_ms <= observed_ms
        ]
        for watch in overdue:
            watch.clear()
            watch.expire()

    @mode.Service.task
    async def _sweep_periodically(self) -> None:
        while not self.should_stop:
            self.sweep()
            await self.sleep(SWEEP_INTERVAL_S)
