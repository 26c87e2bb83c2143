"""Batches of output tokens on their way from engines to a caller."""

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
    #: Why the answer ended; empty until it did.
    finish_reason: str = ""
    #: Why the attempt cannot go on after these tokens, or None.
    failure: _attempts.AttemptFailure | None = None


def accept_events(
    progress: streams.CompletionProgress,
    attempt: int,
    events: Sequence[streams.EngineEvent],
) -> TokenBatch:
    """Joins the events that one read returned, up to the first wrong one.

    Events of an attempt that was replaced are dropped. Tokens before a wrong
    event were taken, so the caller must get them.
    """
    tokens: list[str] = []
    finish_reason = ""
    failure = None
    for event in events:
        taken = progress.accept(attempt, event)
        if isinstance(taken, returns.result.Failure):
            failure = _failure_of(taken.failure())
            if failure is not None:
                break
        else:
            tokens.extend(event.tokens)
            finish_reason = event.finish_reason if event.done else ""
    return TokenBatch("".join(tokens), len(tokens), finish_reason, failure)


def _failure_of(
    fault: streams.EventRejection,
) -> _attempts.AttemptFailure | None:
    if fault.kind is streams.RejectionKind.LATE:
        return None
    kind = retry.FailureKind.PROTOCOL_ERROR
    if fault.kind is streams.RejectionKind.ENGINE_ERROR:
        kind = retry.FailureKind.CONNECTION_LOST
    detail = f"{fault.kind}: {fault.detail}"
    return _attempts.AttemptFailure(kind, detail, bytes_written=True)
