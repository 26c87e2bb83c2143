"""Limits on one run of a stream."""

from typing import Final

from lagooncrank.server import _buffer_budget
from lagooncrank.server.seeded import _attempt

MAX_EVENT_BYTES: Final = 1_048_576
#: Twice the tokens that models with long contexts can generate.
MAX_EVENTS: Final = 262_144
#: 128 bytes for each of these events.
MAX_STREAM_BYTES: Final = 33_554_432


class StreamQuota:
    """Ends a stream that is too long to be a sound response."""

    def __init__(self, buffer: _buffer_budget.Buffer) -> None:
        """Starts the limits of one run.

        Args:
            buffer: Accounting of the memory for the incomplete event.
        """
        self._buffer = buffer
        self._events = 0
        self._bytes = 0

    def record(self, read_bytes: int, events: int, partial_bytes: int) -> None:
        """Records one read from the stream.

        Args:
            read_bytes: Bytes that were read.
            events: Events that they completed.
            partial_bytes: Bytes of the event that is incomplete now.

        Raises:
            AttemptFailedError: The stream exceeds a limit.
        """
        self._events += events
        self._bytes += read_bytes
        if partial_bytes > MAX_EVENT_BYTES:
            raise _too_large(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        if self._events > MAX_EVENTS:
            raise _too_large(f"the stream exceeds {MAX_EVENTS} events")
        if self._bytes > MAX_STREAM_BYTES:
            raise _too_large(f"the stream exceeds {MAX_STREAM_BYTES} bytes")
        try:
            self._buffer.resize(partial_bytes)
        except _buffer_budget.BufferSpentError as error:
            raise _too_large(str(error)) from error


def _too_large(detail: str) -> _attempt.AttemptFailedError:
    return _attempt.AttemptFailedError(_attempt.FailureKind.TOO_LARGE, detail)
