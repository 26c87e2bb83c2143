"""Records what the outcomes of attempts show about requests and servers."""

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank.core import dispatch
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _attempt_parts
from lagooncrank.server.seeded import _exchange


class AttemptOutcomes:
    """Passes on what attempts at backend servers and other entries show."""

    def __init__(self, parts: _attempt_parts.AttemptParts) -> None:
        self._target_selector = parts.target_selector
        self._view = parts.view
        self._crash_guard = parts.crash_guard
        self._reach_monitor = parts.reach_monitor
        self._delegator = parts.delegator
        self._metrics = parts.metrics
        self._clock: clocks.Clock = parts.clock
        self._observed_clock = parts.observed_clock
        self._log = parts.log

    def record_event(
        self, exchange: _exchange.Exchange, target: dispatch.Target
    ) -> None:
        """Records that a response made progress."""
        exchange.begin_silence(self._observed_clock.missed_ms)
        if target.is_entry:
            return
        self._reach_monitor.record_event(exchange.number, target.server_id)
        self._view.stall_detector.progress.record_event(
            target.server_id,
            exchange.number,
            self._observed_clock.now_ms(),
            self._clock.now_ms(),
        )
        self._crash_guard.record_event(exchange)

    def record_complete(
        self, exchange: _exchange.Exchange, target: dispatch.Target
    ) -> None:
        """Records that a response is complete."""
        if target.is_entry:
            return
        self._crash_guard.record_sound(exchange)

    def record_failed_attempt(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        error: _attempt.AttemptFailedError,
    ) -> int:
        """Records a failed attempt, or one that is not relied on any more.

        Returns:
            The number of runs that it adds to those of the request.
        """
        self.record_late_failure(exchange, target, error)
        runs_before = exchange.possible_runs
        if error.may_have_run:
            exchange.record_lost_run()
        return exchange.possible_runs - runs_before

    def record_late_failure(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        error: _attempt.AttemptFailedError,
    ) -> None:
        """Records the failure of an attempt that counts as a run already."""
        self._record_lost(exchange, target, error, has_begun=False)
        self._record_failure(exchange, target, error)

    def record_broken_response(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        error: _attempt.AttemptFailedError,
    ) -> None:
        """Records that a response broke off, or that its server is silent."""
        if target.is_entry and not self._is_own_delay(exchange, error):
            self._delegator.record_failure(target, error)
        self._record_failure(exchange, target, error)
        self._record_lost(exchange, target, error, has_begun=True)

    def _record_lost(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        error: _attempt.AttemptFailedError,
        *,
        has_begun: bool,
    ) -> None:
        """Records a failed attempt, which may show that its server crashed."""
        if target.is_entry:
            return
        if error.failure is _attempt.FailureKind.RESPONSE_LOST:
            now_ms = self._clock.now_ms()
            self._log.write(
                decisions.Event.RUN_LOST,
                server=target.server_id,
                born_ms=target.born_ms,
                group=target.group or None,
                epoch=target.epoch or None,
                events=exchange.run_events if has_begun else None,
                run_ms=now_ms - exchange.run_began_ms if has_begun else None,
                parts=exchange.request_head.shared_parts,
                content=exchange.content_digest(),
                **exchange.log_fields(self._clock),
            )
        self._crash_guard.record_lost(
            exchange, target, error, has_begun=has_begun
        )

    def _record_failure(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        error: _attempt.AttemptFailedError,
    ) -> None:
        self._metrics.count_failure(error.failure)
        if error.received:
            self._log.write(
                decisions.Event.MALFORMED,
                server=target.server_id,
                problem=error.detail,
                received=error.received,
                **exchange.log_fields(self._clock),
            )
        if target.is_entry:
            return
        if error.failure is not _attempt.FailureKind.CONNECT:
            exchange.has_arrived = True
        if self._is_own_delay(exchange, error):
            return
        if error.failure is not _attempt.FailureKind.SERVER_ERROR:
            self._target_selector.record_failure(target)
        if error.failure is _attempt.FailureKind.TIMED_OUT and target.group:
            self._view.stall_detector.record_timeout(
                target.server_id, self._clock.now_ms()
            )

    def _is_own_delay(
        self,
        exchange: _exchange.Exchange,
        error: _attempt.AttemptFailedError,
    ) -> bool:
        """Returns whether a deadline passed while this entry stood still.

        Deadlines count all time; what the server sent may not have been read.
        """
        return (
            error.failure is _attempt.FailureKind.TIMED_OUT
            and exchange.remaining_ms(self._clock) <= 0
            and exchange.was_missed(self._observed_clock.missed_ms)
        )
