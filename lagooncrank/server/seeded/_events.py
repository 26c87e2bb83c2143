"""Splits a byte stream into complete server-sent events."""

from collections.abc import Iterator
import dataclasses
from typing import Final

#: Longer numbers are no ids; the language refuses to convert numbers of several
#: thousand digits.
MAX_ID_DIGITS: Final = 18


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of a stream, unmodified."""

    raw: bytes
    #: None if the event has no numeric id.
    event_id: int | None


class EventSplitter:
    r"""Buffers the bytes of an event until it is complete.

    >>> splitter = EventSplitter()
    >>> list(splitter.feed(b"id: 1\ndata: a\n\nid: 2\n"))
    [StreamEvent(raw=b'id: 1\ndata: a\n\n', event_id=1)]
    >>> splitter.has_partial_event
    True
    """

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, chunk: bytes) -> Iterator[StreamEvent]:
        """Yields the events that `chunk` completes."""
        self._buffer += chunk
        while True:
            end = _event_end(self._buffer)
            if end is None:
                return
            raw, self._buffer = self._buffer[:end], self._buffer[end:]
            yield StreamEvent(raw, _parse_id(raw))


def _event_end(buffer: bytes) -> int | None:
    ends = [
        position + len(delimiter)
        for delimiter in (b"\n\n", b"\r\n\r\n")
        if (position := buffer.find(delimiter)) >= 0
    ]
    return min(ends) if ends else None


def _parse_id(raw: bytes) -> int | None:
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            text = value.strip()
            is_integer = text.isdigit() and len(text) <= MAX_ID_DIGITS
            return int(text) if is_integer else None
    return None
