"""Detects that all backend servers have fallen silent at the same time."""

from collections.abc import Hashable
import dataclasses
from typing import Final

#: Time without a byte from any server after which several that owe one are
#: silent. A sound server sends the events of a stream, and accepts a
#: connection, well within it.
SILENCE_MS: Final = 400
#: Number of servers that must be silent at once: a single one may pause.
MIN_SILENT_SERVERS: Final = 3


@dataclasses.dataclass(slots=True)
class _Wait:
    server_id: str
    #: Observed time since which the server owes something.
    since_ms: int


class SilenceWatch:
    """Tracks servers that owe a connection or the next event of a stream."""

    def __init__(self, observed_ms: int) -> None:
        #: Time that passed while this process could receive, in milliseconds.
        self._observed_ms = observed_ms
        #: Observed time at which any server was last heard.
        self._heard_ms = observed_ms
        self._waits: dict[Hashable, _Wait] = {}

    def advance(self, observed_ms: int) -> None:
        """Lets time pass; to be called periodically.

        Args:
            observed_ms: Time that passed while this process could receive.
        """
        self._observed_ms = observed_ms

    def begin(self, key: Hashable, server_id: str) -> None:
        """Records that a server owes something from now on.

        Args:
            key: Identifies the wait.
            server_id: The server.
        """
        self._waits[key] = _Wait(server_id, self._observed_ms)

    def end(self, key: Hashable) -> None:
        """Ends a wait, whatever its outcome."""
        self._waits.pop(key, None)

    def record_heard(self, key: Hashable = None) -> None:
        """Records a sign of life of any server.

        Args:
            key: Wait that goes on for the next sign; None if there is none.
        """
        self._heard_ms = self._observed_ms
        if key is not None and key in self._waits:
            self._waits[key].since_ms = self._observed_ms

    @property
    def heard_ago_ms(self) -> int:
        """Observed time since any server was last heard."""
        return self._observed_ms - self._heard_ms

    def is_silent(self) -> bool:
        """Returns whether no server is heard although several owe something."""
        if self.heard_ago_ms < SILENCE_MS:
            return False
        overdue = {
            wait.server_id
            for wait in self._waits.values()
            if self._observed_ms - wait.since_ms >= SILENCE_MS
        }
        return len(overdue) >= MIN_SILENT_SERVERS
