"""Splits a byte stream into complete server-sent events."""

import dataclasses
import re
from typing import Final

#: Longer numbers are no ids; the language refuses to convert numbers of several
#: thousand digits.
MAX_ID_DIGITS: Final = 18
_DELIMITER: Final = re.compile(rb"\n\n|\r\n\r\n")
#: Length of the longer delimiter.
_DELIMITER_BYTES: Final = 4


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of a stream, unmodified."""

    raw: bytes
    #: None if the event has no numeric id.
    event_id: int | None

    @property
    def is_comment(self) -> bool:
        """Whether it has no fields."""
        return all(
            not line or line.startswith(b":") for line in self.raw.splitlines()
        )


class EventSplitter:
    r"""Buffers the bytes of an event until it is complete.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\n")
    [StreamEvent(raw=b'id: 1\ndata: a\n\n', event_id=1)]
    >>> splitter.has_partial_event
    True
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        #: Bytes at the start of the buffer that contain no delimiter.
        self._searched = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    @property
    def partial_bytes(self) -> int:
        """Bytes of the incomplete event."""
        return len(self._buffer)

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Returns the events that `chunk` completes."""
        self._buffer += chunk
        events = []
        start = 0
        found = _DELIMITER.search(self._buffer, self._searched)
        while found is not None:
            raw = bytes(self._buffer[start : found.end()])
            events.append(StreamEvent(raw, _parse_id(raw)))
            start = found.end()
            found = _DELIMITER.search(self._buffer, start)
        del self._buffer[:start]
        self._searched = max(len(self._buffer) - _DELIMITER_BYTES + 1, 0)
        return events


def _parse_id(raw: bytes) -> int | None:
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            text = value.strip()
            is_integer = text.isdigit() and len(text) <= MAX_ID_DIGITS
            return int(text) if is_integer else None
    return None
