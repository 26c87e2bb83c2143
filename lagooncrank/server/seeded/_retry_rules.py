"""Whether a request may be attempted again after a failed attempt."""

from typing import Final

from lagooncrank import clock as clocks
from lagooncrank import results
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _crash_guard
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _refusals

#: Maximum attempts of one request that backend servers did not run.
MAX_REJECTIONS: Final = 3
#: Remaining time below which a retry cannot succeed.
MIN_REMAINING_MS: Final = 20


class RetryRules:
    """Checks failed requests before their next attempt."""

    def __init__(
        self, crash_guard: _crash_guard.CrashGuard, clock: clocks.Clock
    ) -> None:
        self._crash_guard = crash_guard
        self._clock = clock

    def check(
        self,
        exchange: _exchange.Exchange,
        error: _attempt.AttemptFailedError,
        rejections: int,
    ) -> None:
        """Checks that a failed request may be retried.

        Args:
            exchange: The request.
            error: Failure of the last attempt.
            rejections: Attempts so far that backend servers did not run.

        Raises:
            ForwardingError: The request must not be retried.
        """
        remaining_ms = exchange.remaining_ms(self._clock)
        if remaining_ms < MIN_REMAINING_MS:
            code = results.ResultCode.DEADLINE_EXCEEDED
            raise _refusals.ForwardingError(
                _refusals.final_refusal(exchange, code, error)
            )
        if rejections >= MAX_REJECTIONS:
            code = results.ResultCode.BACKEND_OVERLOADED
            raise _refusals.ForwardingError(
                _refusals.final_refusal(exchange, code, error)
            )
        if exchange.possible_runs == 0:
            return
        route = exchange.route
        if not route.is_retry_safe or not exchange.is_resumable:
            code = results.ResultCode.OUTCOME_UNKNOWN
            raise _refusals.ForwardingError(
                _refusals.final_refusal(exchange, code, error)
            )
        if exchange.possible_runs >= route.max_attempts:
            code = results.ResultCode.BACKEND_LOST
            raise _refusals.ForwardingError(
                _refusals.final_refusal(exchange, code, error)
            )
        if error.is_disconnect and not self._crash_guard.may_repeat(exchange):
            code = results.ResultCode.CRASH_SUSPECTED
            raise _refusals.ForwardingError(
                _refusals.final_refusal(exchange, code, error)
            )
