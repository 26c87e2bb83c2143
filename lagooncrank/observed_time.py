"""Time in which this process could notice what others did.

A process that is paused, or short of processor time, reads nothing; what others
sent meanwhile waits in its sockets, and its timers run before it is read. Such
time is no evidence of their silence. So whoever judges others by their silence
counts observed time. Leases, deadlines and whatever else others rely on pass
while this process stands still, and count the time of a `clock.Clock`.
"""

from typing import Final

from lagooncrank import clock as clocks

#: Interval between two ticks of a process that is not held up.
TICK_MS: Final = 100
#: Longest time between two ticks that counts.
MAX_STEP_MS: Final = 150


class ObservedClock:
    """Counts the time in which a process runs its event loop.

    >>> clock = clocks.ManualClock()
    >>> observed = ObservedClock(clock)
    >>> clock.advance(60)
    >>> observed.now_ms()
    60
    >>> clock.advance(2_000)
    >>> observed.now_ms(), observed.missed_ms
    (150, 1910)
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._ticked_ms = clock.now_ms()
        self._observed_ms = 0
        self._missed_ms = 0

    def tick(self) -> None:
        """Shows that the event loop runs; to be called every `TICK_MS`."""
        passed_ms = self._passed_ms()
        step_ms = min(passed_ms, MAX_STEP_MS)
        self._ticked_ms += passed_ms
        self._observed_ms += step_ms
        self._missed_ms += passed_ms - step_ms

    def now_ms(self) -> int:
        """Returns the observed time in milliseconds; it never decreases."""
        return self._observed_ms + min(self._passed_ms(), MAX_STEP_MS)

    @property
    def missed_ms(self) -> int:
        """Time since the start that does not count, in milliseconds."""
        return self._missed_ms + max(self._passed_ms() - MAX_STEP_MS, 0)

    def _passed_ms(self) -> int:
        return max(self._clock.now_ms() - self._ticked_ms, 0)
