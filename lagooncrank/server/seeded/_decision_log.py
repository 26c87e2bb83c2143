"""Decision log: one JSON line on standard output for each decision.

Lines are queued and written without blocking. If the reader of the output is
too slow, lines are dropped. Their number is logged once the queue is empty.
"""

import collections
import json
import os
from typing import Any
from typing import Final

import mode

from lagooncrank import clock as clocks
from lagooncrank import decisions

#: Maximum bytes in the queue; further lines are dropped.
MAX_QUEUED_BYTES: Final = 1_048_576
FLUSH_S: Final = 0.1


class DecisionLog(mode.Service):  # type: ignore[misc, unused-ignore]
    """Queues lines and writes as much as the reader accepts."""

    def __init__(self, file: int, clock: clocks.Clock, node_id: str) -> None:
        """Prepares the log for a file descriptor.

        Args:
            file: Descriptor to write to; it is set to non-blocking.
            clock: Clock of the process.
            node_id: Node named in each line.
        """
        super().__init__()
        self._file = file
        self._clock = clock
        self._node_id = node_id
        self._lines: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._dropped = 0
        #: Request ids of refusals since the last flush, by code and reason.
        self._pending_refusals: dict[tuple[str, str], list[str]] = {}
        os.set_blocking(file, False)

    def write(self, event: decisions.Event, **fields: Any) -> None:
        """Queues a line, or drops it if the queue is full."""
        line = self._format_line(event, fields)
        if self._queued_bytes + len(line) > MAX_QUEUED_BYTES:
            self._dropped += 1
            return
        self._lines.append(line)
        self._queued_bytes += len(line)

    def record_refusal(self, code: str, reason: str, request: str) -> None:
        """Records a refusal; refusals of the same cause share a line."""
        self._pending_refusals.setdefault((code, reason), []).append(request)

    def flush(self) -> None:
        """Writes as many queued lines as the reader accepts now."""
        refusals, self._pending_refusals = self._pending_refusals, {}
        for (code, reason), requests in refusals.items():
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
                # The reader is gone, so there is nowhere to report this.
                self._dropped += len(self._lines)
                self._lines.clear()
                self._queued_bytes = 0
                return
            self._queued_bytes -= written
            unwritten = self._lines.popleft()[written:]
            if unwritten:
                self._lines.appendleft(unwritten)
                return

    async def on_stop(self) -> None:
        """Writes the remaining lines."""
        self.flush()

    @mode.Service.timer(FLUSH_S)  # type: ignore[misc, unused-ignore]
    async def _flush_periodically(self) -> None:
        self.flush()

    def _format_line(
        self, event: decisions.Event, fields: dict[str, Any]
    ) -> bytes:
        head = {
            "wall_ms": self._clock.wall_ms(),
            "node": self._node_id,
            "event": event.value,
        }
        return json.dumps(head | fields, default=str).encode() + b"\n"
