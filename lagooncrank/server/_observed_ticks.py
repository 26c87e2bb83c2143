"""Ticks of the observed time of a process."""

import asyncio

import mode

from lagooncrank import clock as clocks
from lagooncrank import observed_time


class ObservedTicks(mode.Service):  # type: ignore[misc, unused-ignore]
    """Ticks an observed clock from the event loop."""

    def __init__(self, observed_clock: observed_time.ObservedClock) -> None:
        """Prepares the ticks.

        Args:
            observed_clock: Is told of each tick.
        """
        super().__init__()
        self._observed_clock = observed_clock
        self._timer: asyncio.TimerHandle | None = None

    async def on_start(self) -> None:
        """Starts to tick."""
        self._schedule()

    async def on_stop(self) -> None:
        """Ends the ticks."""
        if self._timer is not None:
            self._timer.cancel()

    def tick(self) -> None:
        """Shows that the event loop runs."""
        self._observed_clock.tick()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        delay_s = observed_time.TICK_MS / clocks.MS_PER_S
        self._timer = loop.call_later(delay_s, self._on_tick)

    def _on_tick(self) -> None:
        self.tick()
        self._schedule()
