"""Detection of backend servers whose response streams have stalled.

The engines of a group run in lockstep, and each step emits an event on every
stream that is in progress. If no stream of a head receives events any more,
one of the group's members has failed.

`observed_ms` is time in which this entry could read events, `now_ms` monotonic
time, which counts for what other nodes are told.
"""

from collections.abc import Collection
import dataclasses
from typing import Final

#: Time without an event after which a stream that has begun is stalled; several
#: times an engine's longest step.
EVENT_STALL_MS: Final = 350
#: Time without an event after which a stream is abandoned if its server is
#: already known to have failed.
MAX_STEP_MS: Final = 250
#: Time after which a request without a first event is stalled.
FIRST_EVENT_STALL_MS: Final = 1_000
#: Maximum age of the last event of a server that counts as working.
WORKING_MS: Final = 1_000


@dataclasses.dataclass(slots=True)
class _Stream:
    #: Observed time of the last event, or of the request before the first.
    last_event_ms: int
    has_begun: bool = False

    def is_stalled(self, observed_ms: int) -> bool:
        limit_ms = EVENT_STALL_MS if self.has_begun else FIRST_EVENT_STALL_MS
        return observed_ms - self.last_event_ms >= limit_ms


class StreamProgress:
    """Tracks the last event of each open stream of one entry, by server."""

    def __init__(self) -> None:
        self._streams: dict[str, dict[int, _Stream]] = {}
        #: Monotonic time of the last event of each server.
        self._last_event_ms: dict[str, int] = {}

    def begin(self, server_id: str, stream: int, observed_ms: int) -> None:
        """Starts tracking a request that was sent."""
        server_streams = self._streams.setdefault(server_id, {})
        server_streams[stream] = _Stream(observed_ms)

    def record_event(
        self, server_id: str, stream: int, observed_ms: int, now_ms: int
    ) -> None:
        """Records an event of a stream."""
        tracked = self._streams.get(server_id, {}).get(stream)
        if tracked is not None:
            tracked.last_event_ms = observed_ms
            tracked.has_begun = True
        self._last_event_ms[server_id] = now_ms

    def end(self, server_id: str, stream: int) -> None:
        """Stops tracking a stream that has ended."""
        server_streams = self._streams.get(server_id)
        if server_streams is None:
            return
        server_streams.pop(stream, None)
        if not server_streams:
            del self._streams[server_id]

    def is_overdue(self, server_id: str, stream: int, observed_ms: int) -> bool:
        """Returns whether a stream had no event for the longest step time.

        Unknown streams are not overdue.
        """
        tracked = self._streams.get(server_id, {}).get(stream)
        return (
            tracked is not None
            and observed_ms - tracked.last_event_ms >= MAX_STEP_MS
        )

    def stalled(self, observed_ms: int) -> frozenset[str]:
        """Returns the servers all of whose streams are stalled.

        Requests without a first event are considered only if no stream of
        the server has begun. They may be waiting for a slot, and requests
        that were just sent must not hide that all streams have stalled.
        """
        return frozenset(
            server_id
            for server_id, streams in self._streams.items()
            if _are_stalled(streams.values(), observed_ms)
        )

    def working(self, now_ms: int) -> frozenset[str]:
        """Returns the servers that sent an event recently."""
        old = [
            s
            for s, last_event_ms in self._last_event_ms.items()
            if now_ms - last_event_ms >= WORKING_MS
        ]
        for server_id in old:
            del self._last_event_ms[server_id]
        return frozenset(self._last_event_ms)


def _are_stalled(streams: Collection[_Stream], observed_ms: int) -> bool:
    begun = [s for s in streams if s.has_begun]
    return all(s.is_stalled(observed_ms) for s in begun or streams)
