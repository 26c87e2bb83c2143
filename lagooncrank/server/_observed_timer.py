"""Timers that wait for others in observed time.

A timer of the event loop that is due after a standstill runs before what
arrived meanwhile is read. These wait on for the time that was not observed.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

from lagooncrank import clock as clocks
from lagooncrank import observed_time


class ObservedTimer:
    """Calls a function once, after a duration of observed time."""

    def __init__(
        self,
        clock: observed_time.ObservedClock,
        duration_ms: int,
        callback: Callable[[], None],
    ) -> None:
        """Starts the timer.

        Args:
            clock: Observed time of this process.
            duration_ms: Duration in observed milliseconds.
            callback: Is called from the event loop.
        """
        self._clock = clock
        self._duration_ms = duration_ms
        self._callback = callback
        self._due_ms = clock.now_ms() + duration_ms
        self._handle: asyncio.TimerHandle | None = None
        self._schedule()

    def restart(self) -> None:
        """Starts the duration anew; it has no effect once it has passed."""
        self._due_ms = self._clock.now_ms() + self._duration_ms

    def cancel(self) -> None:
        """Ends the timer; its function is not called any more."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _schedule(self) -> None:
        delay_s = (self._due_ms - self._clock.now_ms()) / clocks.MS_PER_S
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        if self._clock.now_ms() < self._due_ms:
            self._schedule()
            return
        self._handle = None
        self._callback()


@contextlib.asynccontextmanager
async def timeout(
    clock: observed_time.ObservedClock, duration_ms: int
) -> AsyncIterator[None]:
    """Returns a context that ends after a duration of observed time.

    Raises:
        TimeoutError: The block did not end in time; it was cancelled.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as limit:
        timer = ObservedTimer(
            clock, duration_ms, lambda: limit.reschedule(loop.time())
        )
        try:
            yield
        finally:
            timer.cancel()
