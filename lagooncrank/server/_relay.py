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


def take_batch(
    progress: streams.Progress,
    attempt: int,
    events: Sequence[streams.EngineEvent],
) -> TokenBatch:
    """Joins the events that one read returned.

    Events of an attempt that was replaced are dropped.

    Raises:
        AttemptFailedError: An event does not continue the answer.
    """
    tokens: list[str] = []
    for event in events:
        taken = progress.take(attempt, event)
        if isinstance(taken, returns.result.Failure):
            _raise_unless_late(taken.failure())
        else:
            tokens.extend(event.tokens)
    finish_reason = events[-1].finish_reason if progress.done else ""
    return TokenBatch("".join(tokens), len(tokens), finish_reason)


def _raise_unless_late(fault: streams.Fault) -> None:
    if fault.kind is streams.FaultKind.LATE:
        return
    kind = retry.FailureKind.PROTOCOL_ERROR
    if fault.kind is streams.FaultKind.ENGINE_ERROR:
        kind = retry.FailureKind.CONNECTION_LOST
    detail = f"{fault.kind}: {fault.detail}"
    failure = _attempts.AttemptFailure(kind, detail, bytes_written=True)
    raise _attempts.AttemptFailedError(failure)
