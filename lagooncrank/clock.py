"""Monotonic and wall-clock time in whole milliseconds.

Code in `lagooncrank.core` has no clock: callers pass `now_ms`. Code that does
I/O has a `Clock`, so that tests can pass a `ManualClock`.
"""

import time
from typing import Protocol

NS_PER_MS = 1_000_000
MS_PER_S = 1_000
#: Deadline that is never reached.
NEVER_MS = 2**62


class Clock(Protocol):
    """Source of monotonic and wall-clock time."""

    def now_ms(self) -> int:
        """Returns monotonic time in milliseconds; it never decreases."""

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch, for display and logs."""


class SystemClock:
    """Clock of the operating system."""

    def now_ms(self) -> int:
        """Returns monotonic time in milliseconds.

        It includes time in which the machine was suspended, because leases
        granted to other nodes keep running meanwhile.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""
        return time.time_ns() // NS_PER_MS


class LatestUnixTime:
    """Upper bound of the Unix time, whichever way the wall clock was set.

    >>> clock = ManualClock(wall_offset_ms=1_000)
    >>> latest = LatestUnixTime(clock)
    >>> clock.set_wall_offset(400)
    >>> latest.now_ms()
    1000
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._first_offset_ms = clock.wall_ms() - clock.now_ms()

    def now_ms(self) -> int:
        """Returns milliseconds since the Unix epoch, rather more than less."""
        expected_ms = self._clock.now_ms() + self._first_offset_ms
        return max(self._clock.wall_ms(), expected_ms)


class ManualClock:
    """Clock for tests that advances only on request.

    >>> clock = ManualClock(start_ms=5)
    >>> clock.advance(10)
    >>> clock.now_ms()
    15
    """

    def __init__(self, start_ms: int = 0, wall_offset_ms: int = 0) -> None:
        self._now_ms = start_ms
        self._wall_offset_ms = wall_offset_ms

    def now_ms(self) -> int:
        """Returns the start time plus all advances."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Returns the monotonic time plus the wall offset."""
        return self._now_ms + self._wall_offset_ms

    def set_wall_offset(self, wall_offset_ms: int) -> None:
        """Sets the wall clock."""
        self._wall_offset_ms = wall_offset_ms

    def advance(self, duration_ms: int) -> None:
        """Advances the clock.

        Raises:
            ValueError: `duration_ms` is negative.
        """
        if duration_ms < 0:
            raise ValueError(f"duration_ms is {duration_ms}, must be >= 0")
        self._now_ms += duration_ms
