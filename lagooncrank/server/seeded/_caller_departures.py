"""Records callers that close their connection before they have a response."""

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _entry_metrics
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _loop_watch


class CallerDepartures:
    """Counts and logs callers that left."""

    def __init__(
        self,
        loop_watch: _loop_watch.LoopWatch,
        metrics: _entry_metrics.EntryMetrics,
        clock: clocks.Clock,
        log: _decision_log.DecisionLog,
    ) -> None:
        self._loop_watch = loop_watch
        self._metrics = metrics
        self._clock = clock
        self._log = log

    def record(self, exchange: _exchange.Exchange) -> None:
        """Records that the caller of a request has left."""
        self._metrics.count_departure(was_sent=exchange.was_sent)
        self._log.write(
            decisions.Event.CALLER_LEFT,
            sent=exchange.was_sent,
            lag_ms=self._loop_watch.lag_ms,
            **exchange.log_fields(self._clock),
        )
