"""Records responses that this entry ends before their end."""

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import results
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _entry_metrics
from lagooncrank.server.seeded import _exchange


class ResponseCuts:
    """Counts and logs responses that are cut."""

    def __init__(
        self,
        metrics: _entry_metrics.EntryMetrics,
        clock: clocks.Clock,
        log: _decision_log.DecisionLog,
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._log = log

    def record(
        self,
        exchange: _exchange.Exchange,
        code: results.ResultCode,
        reason: str,
    ) -> None:
        """Records that the connection of a response is closed midway.

        Args:
            exchange: The request.
            code: What ends it.
            reason: The same in words.
        """
        self._metrics.count_refusal(code)
        self._metrics.count_cut(code)
        self._log.write(
            decisions.Event.CUT,
            code=code.name,
            reason=reason,
            given_up_for=exchange.given_up_for,
            missed_ms=exchange.missed_ms,
            last_event_id=exchange.last_event_id,
            **exchange.log_fields(self._clock),
        )
