"""Whether the events of one run go on where a stream stands."""

from collections.abc import Iterable
from collections.abc import Iterator

from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _events
from lagooncrank.server.seeded import _exchange


class EventSequence:
    """Takes the events of one run up to the first that does not fit.

    Ids increase along a stream. An event that has none, or an earlier one, is a
    piece that the caller has already, or no piece at all: the text of an error,
    or the head of a response.
    """

    def __init__(self, last_id: int | None, *, has_begun: bool) -> None:
        """Starts at an event of the stream.

        Args:
            last_id: Id of the last event that was passed to the caller; None
                if there is none.
            has_begun: Whether any event was passed to the caller.
        """
        self._last_id = last_id
        self._needs_id = has_begun
        self._misplaced: _events.StreamEvent | None = None

    @classmethod
    def of_next_run(cls, exchange: _exchange.Exchange) -> "EventSequence":
        """Returns the sequence of the next run of a request."""
        return cls(
            exchange.last_event_id,
            has_begun=exchange.first_event_ms is not None,
        )

    def take(
        self, events: Iterable[_events.StreamEvent]
    ) -> Iterator[_events.StreamEvent]:
        """Yields the events before the first that does not fit."""
        for event in events:
            if not self._fits(event):
                self._misplaced = event
                return
            yield event

    def check(self) -> None:
        """Checks that all events so far fit.

        Raises:
            AttemptFailedError: One does not; those before it were taken.
        """
        if self._misplaced is not None:
            raise _attempt.AttemptFailedError(
                _attempt.FailureKind.RESPONSE_LOST,
                "the stream continues with an event that does not fit",
                received=f"after event {self._last_id}: "
                f"{self._misplaced.raw[: _attempt.MAX_DETAIL_CHARS]!r}",
            )

    def _fits(self, event: _events.StreamEvent) -> bool:
        if event.is_comment:
            return True
        if event.event_id is None:
            return self._last_id is None and not self._needs_id
        if self._last_id is not None and event.event_id <= self._last_id:
            return False
        self._last_id = event.event_id
        return True
