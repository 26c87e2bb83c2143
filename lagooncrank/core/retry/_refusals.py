"""Refusals that end a call after a failed attempt."""

from lagooncrank import results
from lagooncrank.core.retry import _types

#: Code that a failure of each kind is answered with.
CODES: dict[_types.FailureKind, results.ResultCode] = {
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

#: When a caller may ask again after the last attempt failed.
ATTEMPTS_RETRY_AFTER_MS = 1_000


def may_have_run(call: _types.Call, failure: _types.Failure) -> bool:
    """Returns whether a further attempt could run the call a second time."""
    return failure.bytes_written and not call.repeatable


def ran(failure: _types.Failure) -> results.Ran:
    """Returns what is known of a call whose last attempt failed so."""
    if failure.bytes_written and failure.kind is not _types.FailureKind.REFUSED:
        return results.Ran.UNKNOWN
    return results.Ran.NOT_RUN


def unknown_outcome(
    call: _types.Call, failure: _types.Failure
) -> results.Refusal:
    """Returns the answer to a call that may have run and stays unrepeated."""
    return results.Refusal(
        results.ResultCode.OUTCOME_UNKNOWN,
        f"request {call.request_id} reached {failure.target_id} and got no "
        f"answer ({failure.kind}); look up its outcome before asking again",
        ran=results.Ran.UNKNOWN,
    )


def deadline_passed(
    call: _types.Call, failure: _types.Failure
) -> results.Refusal:
    """Returns the answer to a call whose deadline leaves no retry."""
    return results.Refusal(
        results.ResultCode.DEADLINE_EXCEEDED,
        f"request {call.request_id} failed at {failure.target_id} "
        f"({failure.kind}) and its deadline leaves no time for a retry",
        ran=ran(failure),
    )


def attempts_spent(
    call: _types.Call, failure: _types.Failure
) -> results.Refusal:
    """Returns the answer to a call that failed as often as it may."""
    return results.Refusal(
        CODES[failure.kind],
        f"request {call.request_id} failed {failure.attempts} times, last at "
        f"{failure.target_id} ({failure.kind}); ask again later",
        ran=ran(failure),
        retry_after_ms=ATTEMPTS_RETRY_AFTER_MS,
    )


def budget_spent(
    call: _types.Call, failure: _types.Failure, retry_after_ms: int
) -> results.Refusal:
    """Returns the answer to a call whose account may not retry now."""
    return results.Refusal(
        results.ResultCode.RETRY_BUDGET_SPENT,
        f"request {call.request_id} failed at {failure.target_id} "
        f"({failure.kind}) and client account {call.account} has no retries "
        f"left; ask again later",
        ran=ran(failure),
        retry_after_ms=retry_after_ms,
    )
