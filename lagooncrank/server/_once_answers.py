"""Answers and refusals of calls that may not be repeated."""

import dataclasses
from typing import Final

from lagooncrank import results
from lagooncrank.core import routing
from lagooncrank.core import state
from lagooncrank.server import _attempts
from lagooncrank.server import _plain_calls
from lagooncrank.server import _plain_client

#: Longest answer that the ledger keeps.
MAX_STORED_BYTES: Final = 16_384
IN_PROGRESS_RETRY_MS: Final = 500
CONTENT_TYPE: Final = "Content-Type"
REPLAYED: Final = ("Idempotency-Replayed", "true")

_Code = results.ResultCode


def stored(
    answer: _plain_client.PlainAnswer | None,
) -> state.StoredAnswer | None:
    """Returns an answer as the ledger keeps it; None if too large."""
    if answer is None or len(answer.body) > MAX_STORED_BYTES:
        return None
    headers = dict(answer.headers)
    content_type = headers.get(CONTENT_TYPE, "application/octet-stream")
    return state.StoredAnswer(answer.status, content_type, answer.body)


def repeat(
    call: _plain_calls.PlainCall, record: state.CallRecord
) -> _plain_client.PlainAnswer:
    """Returns the stored answer of a finished call.

    Raises:
        LagooncrankError: The body differs, or the answer was not kept.
    """
    key = record.call.key
    if record.body_digest != call.digest:
        raise results.error(
            _Code.KEY_REUSED,
            f"key {key!r} was used with another body; use a new key",
        )
    kept = record.answer
    if kept is None:
        raise results.error(
            _Code.ANSWER_NOT_KEPT,
            f"the call with key {key!r} ran; its answer was not kept",
            results.ExecutionStatus.RAN,
        )
    headers = ((CONTENT_TYPE, kept.content_type), REPLAYED)
    return _plain_client.PlainAnswer(kept.status, headers, kept.body)


def ran(record: state.CallRecord | None) -> results.ExecutionStatus:
    """Tells whether a call with the key may have run, as far as known."""
    if record is None or record.state is state.CallState.NOT_RUN:
        return results.ExecutionStatus.NOT_RUN
    if record.state is state.CallState.FINISHED:
        return results.ExecutionStatus.RAN
    return results.ExecutionStatus.UNKNOWN


def not_run(refusal: results.Refusal | None) -> results.Refusal:
    """Returns a refusal of a call of which no byte was written."""
    assert refusal is not None, "an unsent call has a reason"
    return dataclasses.replace(refusal, ran=results.ExecutionStatus.NOT_RUN)


def connect_refusal(
    target: routing.Target, error: _attempts.AttemptFailedError
) -> results.Refusal:
    """Returns the refusal of a backend server that took no connection."""
    return results.Refusal(
        _Code.CONNECT_FAILED,
        f"{target.target_id!r} at {target.address} took no connection: "
        f"{error.failure.detail}",
    )


def in_progress(key: state.CallKey) -> results.LagooncrankError:
    """Returns the error for a repeat while the first call runs."""
    return results.LagooncrankError(
        results.Refusal(
            _Code.CALL_IN_PROGRESS,
            f"the first call with key {key.key!r} still runs; ask again",
            results.ExecutionStatus.UNKNOWN,
            IN_PROGRESS_RETRY_MS,
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
