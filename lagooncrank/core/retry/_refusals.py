"""Refusals with which the retry policies end a call."""

from lagooncrank import results
from lagooncrank.core.retry import _types

#: Result code of a call that ends with a failure of each kind.
RESULT_CODES: dict[_types.FailureKind, results.ResultCode] = {
    _types.FailureKind.CONNECT_FAILED: results.ResultCode.CONNECT_FAILED,
    _types.FailureKind.REFUSED: results.ResultCode.BACKEND_OVERLOADED,
    _types.FailureKind.CONNECTION_LOST: results.ResultCode.BACKEND_LOST,
    _types.FailureKind.FIRST_BYTE_TIMEOUT: (
        results.ResultCode.FIRST_BYTE_TIMEOUT
    ),
    _types.FailureKind.BETWEEN_BYTES_TIMEOUT: (
        results.ResultCode.BETWEEN_BYTES_TIMEOUT
    ),
    _types.FailureKind.PROTOCOL_ERROR: (
        results.ResultCode.BACKEND_PROTOCOL_ERROR
    ),
}

#: Retry-After of a call that used up its attempts.
ATTEMPTS_RETRY_AFTER_MS = 1_000


def may_have_run(call: _types.Call, failure: _types.Failure) -> bool:
    """Returns whether a retry could execute an at-most-once call twice."""
    return failure.bytes_written and not call.repeatable


def known_execution(failure: _types.Failure) -> results.ExecutionStatus:
    """Returns whether a call ran, as far as its last failure shows."""
    if failure.bytes_written and failure.kind is not _types.FailureKind.REFUSED:
        return results.ExecutionStatus.UNKNOWN
    return results.ExecutionStatus.NOT_RUN


def unknown_outcome(
    call: _types.Call, failure: _types.Failure
) -> results.Refusal:
    """Returns the refusal of an at-most-once call that may have run."""
    return results.Refusal(
        results.ResultCode.OUTCOME_UNKNOWN,
        f"request {call.request_id} was sent to {failure.target_id} and got no "
        f"answer ({failure.kind}); look up its outcome before retrying",
        ran=results.ExecutionStatus.UNKNOWN,
    )


def deadline_passed(
    call: _types.Call, failure: _types.Failure
) -> results.Refusal:
    """Returns the refusal of a call whose deadline is too near for a retry."""
    return results.Refusal(
        results.ResultCode.DEADLINE_EXCEEDED,
        f"request {call.request_id} failed at {failure.target_id} "
        f"({failure.kind}) and its deadline leaves no time for a retry",
        ran=known_execution(failure),
    )


def attempts_exhausted(
    call: _types.Call, failure: _types.Failure
) -> results.Refusal:
    """Returns the refusal of a call that used up its attempts."""
    return results.Refusal(
        RESULT_CODES[failure.kind],
        f"request {call.request_id} failed {failure.attempts} times, last at "
        f"{failure.target_id} ({failure.kind}); retry later",
        ran=known_execution(failure),
        retry_after_ms=ATTEMPTS_RETRY_AFTER_MS,
    )


def budget_exhausted(
    call: _types.Call, failure: _types.Failure, retry_after_ms: int
) -> results.Refusal:
    """Returns the refusal of a call whose account has no retry budget left."""
    return results.Refusal(
        results.ResultCode.RETRY_BUDGET_SPENT,
        f"request {call.request_id} failed at {failure.target_id} "
        f"({failure.kind}) and client account {call.account} has no retry "
        f"budget left; retry later",
        ran=known_execution(failure),
        retry_after_ms=retry_after_ms,
    )
