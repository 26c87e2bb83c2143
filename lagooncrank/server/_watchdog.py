"""One sweep over all open streams that finds the silent ones."""

from collections.abc import Callable

import mode

from lagooncrank import clock as clocks

SWEEP_INTERVAL_S = 0.05


class Watch:
    """Something that must happen before a time, or be interrupted."""

    __slots__ = ("due_ms", "expire")

    def __init__(self, expire: Callable[[], None]) -> None:
        #: When `expire` is called, on the entry's clock; 0 for never.
        self.due_ms = 0
        self.expire = expire


class Watchdog(mode.Service):
    """Calls `expire` of every watch that is overdue.

    Setting `due_ms` costs a stream next to nothing, where a timer of its own
    would be started and cancelled for each token.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        super().__init__()
        self._clock = clock
        self._watches: set[Watch] = set()

    def add(self, watch: Watch) -> None:
        """Starts to look after a watch."""
        self._watches.add(watch)

    def remove(self, watch: Watch) -> None:
        """Stops to look after a watch."""
        self._watches.discard(watch)

    def sweep(self, now_ms: int) -> None:
        """Expires what is overdue at `now_ms`."""
        overdue = [w for w in self._watches if 0 < w.due_ms <= now_ms]
        for watch in overdue:
            watch.due_ms = 0
            watch.expire()

    @mode.Service.task
    async def _sweep_regularly(self) -> None:
        while not self.should_stop:
            self.sweep(self._clock.now_ms())
            await self.sleep(SWEEP_INTERVAL_S)
