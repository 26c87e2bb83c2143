"""Responses and refusals of calls that must run at most once."""

import dataclasses
from typing import Final

from lagooncrank import results
from lagooncrank.core import routing
from lagooncrank.core import state
from lagooncrank.server import _attempts
from lagooncrank.server import _plain_calls
from lagooncrank.server import _plain_client

#: Maximum body size of an answer that the ledger stores.
MAX_STORED_BYTES: Final = 16_384
IN_PROGRESS_RETRY_AFTER_MS: Final = 500
CONTENT_TYPE: Final = "Content-Type"
REPLAYED: Final = ("Idempotency-Replayed", "true")

_Code = results.ResultCode


def stored_answer(
    response: _plain_client.PlainResponse | None,
) -> state.StoredAnswer | None:
    """Returns a response as the ledger stores it, or None if too large."""
    if response is None or len(response.body) > MAX_STORED_BYTES:
        return None
    headers = dict(response.headers)
    content_type = headers.get(CONTENT_TYPE, "application/octet-stream")
    return state.StoredAnswer(response.status, content_type, response.body)


def replay(
    call: _plain_calls.PlainCall, record: state.CallRecord
) -> _plain_client.PlainResponse:
    """Returns the stored answer of a finished call as a response.

    Raises:
        LagooncrankError: The retry's body differs, or the answer was not
            stored.
    """
    key = record.call.key
    if record.body_digest != call.digest:
        raise results.error(
            _Code.KEY_REUSED,
            f"key {key!r} was used with another body; use a new key",
        )
    answer = record.answer
    if answer is None:
        raise results.error(
            _Code.ANSWER_NOT_KEPT,
            f"the call with key {key!r} ran; its answer was not stored",
            results.ExecutionStatus.RAN,
        )
    headers = ((CONTENT_TYPE, answer.content_type), REPLAYED)
    return _plain_client.PlainResponse(answer.status, headers, answer.body)


def execution_status(
    record: state.CallRecord | None,
) -> results.ExecutionStatus:
    """Returns whether the recorded call was run, as far as known."""
    if record is None or record.state is state.CallState.NOT_RUN:
        return results.ExecutionStatus.NOT_RUN
    if record.state is state.CallState.FINISHED:
        return results.ExecutionStatus.RAN
    return results.ExecutionStatus.UNKNOWN


def not_run(refusal: results.Refusal | None) -> results.Refusal:
    """Returns the refusal for a call of which no byte was written."""
    assert refusal is not None, "a call that was not sent has a refusal"
    return dataclasses.replace(refusal, ran=results.ExecutionStatus.NOT_RUN)


def connect_refusal(
    target: routing.Target, error: _attempts.AttemptFailedError
) -> results.Refusal:
    """Returns the refusal for a backend server that cannot be connected to."""
    return results.Refusal(
        _Code.CONNECT_FAILED,
        f"cannot connect to {target.target_id!r} at {target.address}: "
        f"{error.failure.detail}",
    )


def in_progress(key: state.CallKey) -> results.LagooncrankError:
    """Returns the error for a retry while the first call is running."""
    return results.LagooncrankError(
        results.Refusal(
            _Code.CALL_IN_PROGRESS,
            f"the first call with key {key.key!r} is still running; retry "
            "later",
            results.ExecutionStatus.UNKNOWN,
            IN_PROGRESS_RETRY_AFTER_MS,
        )
    )


def unknown(key: state.CallKey) -> results.LagooncrankError:
    """Returns the error for a call that may have run."""
    return results.error(
        _Code.OUTCOME_UNKNOWN,
        f"the call with key {key.key!r} may have run and is not sent again; "
        "ask the service for its outcome",
        results.ExecutionStatus.UNKNOWN,
    )
