"""Refusals that end a request without a response of a backend server."""

import dataclasses
from typing import Final

from lagooncrank import results
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _exchange

#: Delay before callers should retry if there was no target: a group forms in a
#: second or two.
NO_TARGET_RETRY_AFTER_MS: Final = 1_500
OVERLOAD_RETRY_AFTER_MS: Final = 250
#: Probes find out about a path that is back within this time.
UNREACHED_RETRY_AFTER_MS: Final = 500
#: Fraction of the wait for a server at rest over which callers are spread, so
#: that not all of them return in the same moment.
REST_SPREAD_FRACTION: Final = 0.25
MIN_REST_SPREAD_MS: Final = 250


class ForwardingError(Exception):
    """A request ends without a response of a backend server."""

    def __init__(self, refusal: results.Refusal) -> None:
        self.refusal = refusal
        super().__init__(refusal.reason)


def no_target_refusal(
    exchange: _exchange.Exchange, last_error: _attempt.AttemptFailedError | None
) -> results.Refusal:
    """Returns the refusal of a request that no server is left for."""
    code = results.ResultCode.NO_BACKEND_SERVER
    if exchange.request_head.model_name:
        code = results.ResultCode.NO_SERVING_REPLICA
    return final_refusal(exchange, code, last_error)


def unreached_refusal(
    exchange: _exchange.Exchange, last_error: _attempt.AttemptFailedError | None
) -> results.Refusal:
    """Returns the refusal of a request that no entry has a path for."""
    code = results.ResultCode.SERVICE_UNREACHED
    refusal = final_refusal(exchange, code, last_error)
    if refusal.ran is not results.ExecutionStatus.NOT_RUN:
        return refusal
    return dataclasses.replace(refusal, retry_after_ms=UNREACHED_RETRY_AFTER_MS)


def resting_refusal(
    exchange: _exchange.Exchange,
    last_error: _attempt.AttemptFailedError | None,
    rest_ms: int,
    draw: float,
) -> results.Refusal:
    """Returns the refusal of a request all of whose servers rest.

    Args:
        exchange: The request.
        last_error: Failure of its last attempt, if any.
        rest_ms: Time until the first server takes requests again.
        draw: Random number, 0.0 to 1.0, that spreads the callers.
    """
    code = results.ResultCode.BACKEND_RESTING
    refusal = final_refusal(exchange, code, last_error)
    if refusal.ran is not results.ExecutionStatus.NOT_RUN:
        return refusal
    spread_ms = max(REST_SPREAD_FRACTION * rest_ms, MIN_REST_SPREAD_MS)
    retry_after_ms = rest_ms + int(draw * spread_ms)
    return dataclasses.replace(refusal, retry_after_ms=retry_after_ms)


def stopping_refusal(
    exchange: _exchange.Exchange,
    last_error: _attempt.AttemptFailedError | None,
    retry_after_ms: int,
) -> results.Refusal:
    """Returns the refusal of a request that a planned stop might cut.

    Args:
        exchange: The request.
        last_error: Failure of its last attempt, if any.
        retry_after_ms: Time until another entry takes requests.
    """
    code = results.ResultCode.STOPPING
    refusal = final_refusal(exchange, code, last_error)
    if refusal.ran is not results.ExecutionStatus.NOT_RUN:
        return refusal
    return dataclasses.replace(refusal, retry_after_ms=retry_after_ms)


def final_refusal(
    exchange: _exchange.Exchange,
    code: results.ResultCode,
    last_error: _attempt.AttemptFailedError | None,
) -> results.Refusal:
    """Returns the refusal that ends a request.

    Its code and HTTP status do not claim that a request was not run if it may
    have run.
    """
    detail = f" after {last_error}" if last_error else ""
    reason = f"route {exchange.route.name!r}: {code.meaning}{detail}"
    if exchange.possible_runs:
        # After a possible run only a status that leaves the outcome open
        # is correct.
        if code.http_status not in (502, 504):
            code = results.ResultCode.BACKEND_LOST
        return results.Refusal(code, reason, results.ExecutionStatus.UNKNOWN)
    if code.http_status not in (429, 503):
        code = results.ResultCode.BACKEND_OVERLOADED
    retry_after_ms = (
        OVERLOAD_RETRY_AFTER_MS if last_error else NO_TARGET_RETRY_AFTER_MS
    )
    return results.Refusal(
        code,
        reason,
        results.ExecutionStatus.NOT_RUN,
        retry_after_ms=retry_after_ms,
    )


def stream_lost_refusal(
    exchange: _exchange.Exchange, error: _attempt.AttemptFailedError
) -> results.Refusal:
    """Returns the refusal that ends a stream which cannot be resumed."""
    return final_refusal(exchange, results.ResultCode.BACKEND_LOST, error)
