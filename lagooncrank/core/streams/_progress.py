"""Validation of engine events against the tokens already accepted."""

import dataclasses
import enum

import returns.result

from lagooncrank import model


@dataclasses.dataclass(frozen=True, slots=True)
class EngineEvent:
    """One line of a model engine's streamed response."""

    request_id: model.RequestId
    #: Output tokens of the whole completion before this event.
    offset: int
    tokens: tuple[str, ...] = ()
    done: bool = False
    finish_reason: str = "stop"
    #: Error with which the engine aborted the response, or empty.
    error: str = ""


class RejectionKind(enum.StrEnum):
    """Why an event was rejected."""

    #: The event belongs to an attempt that was superseded; ignore it.
    LATE = "late"
    #: The event belongs to another request.
    OTHER_REQUEST = "other_request"
    #: Tokens before the event are missing.
    GAP = "gap"
    #: The event repeats tokens that were already accepted.
    REPEAT = "repeat"
    #: The event follows the last event of the completion.
    AFTER_END = "after_end"
    #: The engine reported an error.
    ENGINE_ERROR = "engine_error"


@dataclasses.dataclass(frozen=True, slots=True)
class EventRejection:
    """Result of an event that was rejected."""

    kind: RejectionKind
    #: Description with the expected and the received value.
    detail: str


class CompletionProgress:
    """Tokens of one completion that may take several attempts.

    Accepts each token once and in order, whichever attempt produced it.

    >>> progress = CompletionProgress(model.RequestId("r1"))
    >>> attempt = progress.begin_attempt()
    >>> event = EngineEvent(model.RequestId("r1"), offset=0, tokens=("a", "b"))
    >>> progress.accept(attempt, event).unwrap()
    ('a', 'b')
    >>> attempt = progress.begin_attempt()
    >>> progress.resume_from()
    ('a', 'b')
    """

    def __init__(self, request_id: model.RequestId) -> None:
        self._request_id = request_id
        self._attempt = 0
        self._tokens: list[str] = []
        self._done = False

    @property
    def token_count(self) -> int:
        """Number of output tokens accepted so far."""
        return len(self._tokens)

    @property
    def done(self) -> bool:
        """Whether the last event of the completion was accepted."""
        return self._done

    def begin_attempt(self) -> int:
        """Starts an attempt, supersedes older ones and returns its number."""
        self._attempt += 1
        return self._attempt

    def resume_from(self) -> tuple[str, ...]:
        """Returns the accepted tokens, after which the next attempt resumes."""
        return tuple(self._tokens)

    def accept(
        self, attempt: int, event: EngineEvent
    ) -> returns.result.Result[tuple[str, ...], EventRejection]:
        """Accepts or rejects the next event of an attempt.

        Returns:
            The tokens to relay to the caller, or the reason for the rejection.
        """
        rejection = self._check(attempt, event)
        if rejection is not None:
            return returns.result.Failure(rejection)
        self._tokens.extend(event.tokens)
        self._done = event.done
        return returns.result.Success(event.tokens)

    def _check(self, attempt: int, event: EngineEvent) -> EventRejection | None:
        if attempt != self._attempt:
            return EventRejection(
                RejectionKind.LATE, f"attempt {attempt} was superseded"
            )
        if event.request_id != self._request_id:
            detail = f"expected {self._request_id}, got {event.request_id}"
            return EventRejection(RejectionKind.OTHER_REQUEST, detail)
        if event.error:
            return EventRejection(RejectionKind.ENGINE_ERROR, event.error)
        if self._done:
            return EventRejection(
                RejectionKind.AFTER_END, "the completion had already ended"
            )
        expected_offset = len(self._tokens)
        if event.offset == expected_offset:
            return None
        kind = (
            RejectionKind.GAP
            if event.offset > expected_offset
            else RejectionKind.REPEAT
        )
        return EventRejection(
            kind, f"expected offset {expected_offset}, got {event.offset}"
        )
