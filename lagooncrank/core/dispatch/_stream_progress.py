"""Which servers' answers go on and which stand still.

Engines pass events in step: each pass gives one to every stream that it
writes. When all streams of a head stand still, one of its members is gone.
"""

import dataclasses
from typing import Final

#: Silence of a stream that had begun; several times an engine's longest pass.
EVENT_STALL_MS: Final = 350
#: Silence of a stream that is abandoned once its server is known to be dead.
PASS_MS: Final = 250
#: Silence of a request that waits for its first event.
FIRST_STALL_MS: Final = 1_000
#: Age of the last event up to which a server counts as working.
WORKING_MS: Final = 1_000


@dataclasses.dataclass(slots=True)
class _Stream:
    since_ms: int
    has_begun: bool = False

    def is_overdue(self, now_ms: int) -> bool:
        limit_ms = EVENT_STALL_MS if self.has_begun else FIRST_STALL_MS
        return now_ms - self.since_ms >= limit_ms


class StreamProgress:
    """Follows the streams that one entry has open, by server."""

    def __init__(self) -> None:
        self._streams: dict[str, dict[int, _Stream]] = {}
        self._event_ms: dict[str, int] = {}

    def begin(self, server_id: str, stream: int, now_ms: int) -> None:
        """Takes a request that was sent."""
        of_server = self._streams.setdefault(server_id, {})
        of_server[stream] = _Stream(now_ms)

    def record_event(self, server_id: str, stream: int, now_ms: int) -> None:
        """Takes an event of a stream."""
        held = self._streams.get(server_id, {}).get(stream)
        if held is not None:
            held.since_ms = now_ms
            held.has_begun = True
        self._event_ms[server_id] = now_ms

    def end(self, server_id: str, stream: int) -> None:
        """Takes the end of a stream."""
        of_server = self._streams.get(server_id)
        if of_server is None:
            return
        of_server.pop(stream, None)
        if not of_server:
            del self._streams[server_id]

    def discount_pause(self, pause_ms: int, now_ms: int) -> None:
        """Takes a pause of this process, in which it could read nothing."""
        for of_server in self._streams.values():
            for stream in of_server.values():
                stream.since_ms = min(stream.since_ms + pause_ms, now_ms)

    def is_overdue(self, server_id: str, stream: int, now_ms: int) -> bool:
        """Whether a stream has had no event for longer than a pass takes."""
        held = self._streams.get(server_id, {}).get(stream)
        return held is not None and now_ms - held.since_ms >= PASS_MS

    def stalled(self, now_ms: int) -> frozenset[str]:
        """Returns the servers all of whose streams are silent."""
        return frozenset(
            server_id
            for server_id, streams in self._streams.items()
            if all(s.is_overdue(now_ms) for s in streams.values())
        )

    def working(self, now_ms: int) -> frozenset[str]:
        """Returns the servers that gave an event lately."""
        old = [
            s for s, at in self._event_ms.items() if now_ms - at >= WORKING_MS
        ]
        for server_id in old:
            del self._event_ms[server_id]
        return frozenset(self._event_ms)
