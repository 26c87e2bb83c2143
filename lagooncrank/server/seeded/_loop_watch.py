"""Measures how long the event loop does not look at its connections."""

from typing import Final

import prometheus_client

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import observed_time
from lagooncrank.server import _observed_ticks
from lagooncrank.server.seeded import _decision_log

#: A longer delay is logged: it holds up heartbeats and callers' streams.
LOGGED_LAG_MS: Final = 250
LAG_BUCKETS_S: Final = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0)

_LAG_S: Final = prometheus_client.Histogram(
    "lagooncrank_loop_lag_seconds",
    "Delay of the event loop, sampled several times a second.",
    buckets=LAG_BUCKETS_S,
)


class LoopWatch(_observed_ticks.ObservedTicks):
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
        super().__init__(observed_clock)
        self._clock = clock
        self._log = log
        self._due_ms = clock.now_ms() + observed_time.TICK_MS

    @property
    def lag_ms(self) -> int:
        """How long the next tick is overdue; 0 if it is not due yet."""
        return max(self._clock.now_ms() - self._due_ms, 0)

    async def on_start(self) -> None:
        """Starts to tick."""
        self._due_ms = self._clock.now_ms() + observed_time.TICK_MS
        await super().on_start()

    def tick(self) -> None:
        """Records the delay of this tick."""
        lag_ms = self.lag_ms
        self._due_ms = self._clock.now_ms() + observed_time.TICK_MS
        super().tick()
        _LAG_S.observe(lag_ms / clocks.MS_PER_S)
        if lag_ms > LOGGED_LAG_MS:
            self._log.write(decisions.Event.LOOP_LATE, lag_ms=lag_ms)
