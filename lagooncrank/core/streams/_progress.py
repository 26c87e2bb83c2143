"""Checks every engine event against what the caller already received."""

import dataclasses
import enum

import returns.result

from lagooncrank import model


@dataclasses.dataclass(frozen=True, slots=True)
class EngineEvent:
    """One line of a model engine's answer."""

    request_id: model.RequestId
    #: Output tokens before this event, from the start of the whole answer.
    offset: int
    tokens: tuple[str, ...] = ()
    done: bool = False
    finish_reason: str = "stop"
    #: Set when the engine gives up in the middle of an answer.
    error: str = ""


class RejectionKind(enum.StrEnum):
    """Why an event was not taken."""

    #: The event is of an attempt that was replaced; drop it.
    LATE = "late"
    #: The event is of another request.
    OTHER_REQUEST = "other_request"
    #: Tokens are missing before the event.
    GAP = "gap"
    #: The event repeats tokens that the caller has.
    REPEAT = "repeat"
    #: The event follows the end of the answer.
    AFTER_END = "after_end"
    #: The engine reported an error.
    ENGINE_ERROR = "engine_error"


@dataclasses.dataclass(frozen=True, slots=True)
class EventRejection:
    """An event that was not taken."""

    kind: RejectionKind
    #: Sentence that names the expected and the received value.
    detail: str


class CompletionProgress:
    """Tokens of one answer, from the first attempt to the last.

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
        """Output tokens taken so far."""
        return len(self._tokens)

    @property
    def done(self) -> bool:
        """Whether the last event was taken."""
        return self._done

    def begin_attempt(self) -> int:
        """Starts an attempt and returns its number; older ones are late."""
        self._attempt += 1
        return self._attempt

    def resume_from(self) -> tuple[str, ...]:
        """Returns the tokens that the next attempt must continue."""
        return tuple(self._tokens)

    def accept(
        self, attempt: int, event: EngineEvent
    ) -> returns.result.Result[tuple[str, ...], EventRejection]:
        """Takes the next event of an attempt.

        Returns:
            The tokens to pass on to the caller, or why there are none.
        """
        fault = self._fault_of(attempt, event)
        if fault is not None:
            return returns.result.Failure(fault)
        self._tokens.extend(event.tokens)
        self._done = event.done
        return returns.result.Success(event.tokens)

    def _fault_of(
        self, attempt: int, event: EngineEvent
    ) -> EventRejection | None:
        if attempt != self._attempt:
            return EventRejection(
                RejectionKind.LATE, f"attempt {attempt} was replaced"
            )
        if event.request_id != self._request_id:
            detail = f"expected {self._request_id}, got {event.request_id}"
            return EventRejection(RejectionKind.OTHER_REQUEST, detail)
        if event.error:
            return EventRejection(RejectionKind.ENGINE_ERROR, event.error)
        if self._done:
            return EventRejection(
                RejectionKind.AFTER_END, "the answer had ended"
            )
        expected = len(self._tokens)
        if event.offset == expected:
            return None
        kind = (
            RejectionKind.GAP
            if event.offset > expected
            else RejectionKind.REPEAT
        )
        return EventRejection(
            kind, f"expected offset {expected}, got {event.offset}"
        )
