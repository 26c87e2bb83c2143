"""Splits a stream of bytes into whole events."""

from collections.abc import Iterator
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of a stream, as it came."""

    raw: bytes
    #: None if it has no numeric id.
    event_id: int | None


class EventSplitter:
    r"""Holds back the bytes of an event until all of it has come.

    >>> splitter = EventSplitter()
    >>> list(splitter.feed(b"id: 1\ndata: a\n\nid: 2\n"))
    [StreamEvent(raw=b'id: 1\ndata: a\n\n', event_id=1)]
    >>> splitter.has_rest
    True
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Whether part of an event waits for its end."""
        return bool(self._rest)

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Yields the events that end within `data`."""
        self._rest += data
        while True:
            end = _event_end(self._rest)
            if end is None:
                return
            raw, self._rest = self._rest[:end], self._rest[end:]
            yield StreamEvent(raw, _id_of(raw))


def _event_end(data: bytes) -> int | None:
    ends = [
        position + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (position := data.find(mark)) >= 0
    ]
    return min(ends) if ends else None


def _id_of(raw: bytes) -> int | None:
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            text = value.strip()
            return int(text) if text.isdigit() else None
    return None
