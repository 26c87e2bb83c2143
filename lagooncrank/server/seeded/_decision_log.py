"""Decision log: one JSON line on standard output for each decision.

Lines are queued and written without blocking. When the reader of the output
is slower than the lines come, lines are dropped and their number is told by a
line of its own once there is room.
"""

import collections
import json
import os
from typing import Any
from typing import Final

import mode

from lagooncrank import clock as clocks
from lagooncrank import decisions

#: Bytes that wait for a slow reader before lines are dropped.
MAX_QUEUED_BYTES: Final = 1_048_576
FLUSH_S: Final = 0.1


class DecisionLog(mode.Service):  # type: ignore[misc, unused-ignore]
    """Queues lines and writes them when the reader has room."""

    def __init__(self, file: int, clock: clocks.Clock, node_id: str) -> None:
        """Prepares the log.

        Args:
            file: Descriptor to write to; it is made non-blocking.
            clock: Clock of the process.
            node_id: Node that the lines name.
        """
        super().__init__()
        self._file = file
        self._clock = clock
        self._node_id = node_id
        self._lines: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._dropped = 0
        #: Refusals since the last flush: ids by what is the same of them.
        self._refused: dict[tuple[str, str], list[str]] = {}
        os.set_blocking(file, False)

    def write(self, event: decisions.Event, **fields: Any) -> None:
        """Queues a line; it is dropped when too much waits."""
        line = self._line(event, fields)
        if self._queued_bytes + len(line) > MAX_QUEUED_BYTES:
            self._dropped += 1
            return
        self._lines.append(line)
        self._queued_bytes += len(line)

    def refuse(self, code: str, reason: str, request: str) -> None:
        """Notes a refusal; those of one cause share a line."""
        self._refused.setdefault((code, reason), []).append(request)

    def flush(self) -> None:
        """Writes what the reader takes now."""
        refused, self._refused = self._refused, {}
        for (code, reason), requests in refused.items():
            self.write(
                decisions.Event.REFUSED,
                code=code,
                reason=reason,
                requests=requests,
            )
        if self._dropped and not self._lines:
            dropped, self._dropped = self._dropped, 0
            self.write(decisions.Event.DROPPED, lines=dropped)
        while self._lines:
            try:
                written = os.write(self._file, self._lines[0])
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere to report it.
                self._dropped += len(self._lines)
                self._lines.clear()
                self._queued_bytes = 0
                return
            self._queued_bytes -= written
            rest = self._lines.popleft()[written:]
            if rest:
                self._lines.appendleft(rest)
                return

    async def on_stop(self) -> None:
        """Writes the last lines."""
        self.flush()

    @mode.Service.timer(FLUSH_S)  # type: ignore[misc, unused-ignore]
    async def _flush_now_and_then(self) -> None:
        self.flush()

    def _line(self, event: decisions.Event, fields: dict[str, Any]) -> bytes:
        head = {
            "wall_ms": self._clock.wall_ms(),
            "node": self._node_id,
            "event": event.value,
        }
        return json.dumps(head | fields, default=str).encode() + b"\n"
