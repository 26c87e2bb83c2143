"""Measures how long the event loop does not look at its connections."""

import asyncio
from typing import Final

import mode
import prometheus_client

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import observed_time
from lagooncrank.server.seeded import _decision_log

#: A longer delay is logged: it holds up heartbeats and callers' streams.
LOGGED_LAG_MS: Final = 250
LAG_BUCKETS_S: Final = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0)

_LAG_S: Final = prometheus_client.Histogram(
    "lagooncrank_loop_lag_seconds",
    "Delay of the event loop, sampled several times a second.",
    buckets=LAG_BUCKETS_S,
)


class LoopWatch(mode.Service):  # type: ignore[misc, unused-ignore]
    """Ticks regularly; a late tick shows that the loop was busy or paused."""

    def __init__(
        self,
        clock: clocks.Clock,
        observed_clock: observed_time.ObservedClock,
        log: _decision_log.DecisionLog,
    ) -> None:
        """Prepares the watch.

        Args:
            clock: Source of time.
            observed_clock: Is told of each tick.
            log: Receives a line for each late tick.
        """
        super().__init__()
        self._clock = clock
        self._observed_clock = observed_clock
        self._log = log
        self._due_ms = clock.now_ms() + observed_time.TICK_MS
        self._timer: asyncio.TimerHandle | None = None

    @property
    def lag_ms(self) -> int:
        """How long the next tick is overdue; 0 if it is not due yet."""
        return max(self._clock.now_ms() - self._due_ms, 0)

    async def on_start(self) -> None:
        """Starts to tick."""
        self._due_ms = self._clock.now_ms() + observed_time.TICK_MS
        self._schedule()

    async def on_stop(self) -> None:
        """Ends the ticks."""
        if self._timer is not None:
            self._timer.cancel()

    def tick(self) -> None:
        """Records the delay of this tick."""
        lag_ms = self.lag_ms
        self._due_ms = self._clock.now_ms() + observed_time.TICK_MS
        self._observed_clock.tick()
        _LAG_S.observe(lag_ms / clocks.MS_PER_S)
        if lag_ms > LOGGED_LAG_MS:
            self._log.write(decisions.Event.LOOP_LATE, lag_ms=lag_ms)

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        delay_s = observed_time.TICK_MS / clocks.MS_PER_S
        self._timer = loop.call_later(delay_s, self._on_tick)

    def _on_tick(self) -> None:
        self.tick()
        self._schedule()
