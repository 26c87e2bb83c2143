"""Batches of output tokens that are relayed from engines to a caller."""

from collections.abc import Sequence
import dataclasses

import returns.result

from lagooncrank.core import retry
from lagooncrank.core import streams
from lagooncrank.server import _attempts


@dataclasses.dataclass(frozen=True, slots=True)
class TokenBatch:
    """Output tokens that arrived together."""

    text: str
    tokens: int
    #: Why the completion ended, or empty if it has not ended.
    finish_reason: str = ""
    #: Why the attempt failed after these tokens, or None.
    failure: _attempts.AttemptFailure | None = None


def accept_events(
    progress: streams.CompletionProgress,
    attempt: int,
    events: Sequence[streams.EngineEvent],
) -> TokenBatch:
    """Joins the events that one read returned, up to the first invalid one.

    Events of a superseded attempt are dropped. The tokens before an invalid
    event were accepted, so they must still be relayed to the caller.
    """
    tokens: list[str] = []
    finish_reason = ""
    failure = None
    for event in events:
        accepted = progress.accept(attempt, event)
        if isinstance(accepted, returns.result.Failure):
            failure = _attempt_failure(accepted.failure())
            if failure is not None:
                break
        else:
            tokens.extend(event.tokens)
            finish_reason = event.finish_reason if event.done else ""
    return TokenBatch("".join(tokens), len(tokens), finish_reason, failure)


def _attempt_failure(
    rejection: streams.EventRejection,
) -> _attempts.AttemptFailure | None:
    if rejection.kind is streams.RejectionKind.LATE:
        return None
    kind = retry.FailureKind.PROTOCOL_ERROR
    if rejection.kind is streams.RejectionKind.ENGINE_ERROR:
        kind = retry.FailureKind.CONNECTION_LOST
    detail = f"{rejection.kind}: {rejection.detail}"
    return _attempts.AttemptFailure(kind, detail, bytes_written=True)
