"""Detects backend servers whose responses have stalled."""

from collections.abc import Callable
from collections.abc import Collection
from typing import Final

from lagooncrank.core import dispatch

#: A longer interval between two checks means that this process was paused.
MAX_CHECK_INTERVAL_MS: Final = 200
#: Time for which a stall that the fleet summary reports is used.
REMOTE_STALL_TTL_MS: Final = 1_500


class StallDetector:
    """Combines stalls of this entry's streams with those others report."""

    def __init__(self, now_ms: int) -> None:
        self.progress = dispatch.StreamProgress()
        #: Called with servers that have just stalled.
        self.listeners: list[Callable[[frozenset[str]], None]] = []
        #: Servers on which this entry's streams are stalled.
        self.stalled_locally: frozenset[str] = frozenset()
        self._checked_ms = now_ms
        #: Servers that any entry reports as stalled, with the time at which
        #: this entry received the first report.
        self._stalled_remotely: dict[str, int] = {}

    def check_streams(self, now_ms: int) -> frozenset[str]:
        """Checks this entry's streams.

        Returns:
            Servers that have stalled since the last check.
        """
        pause_ms = now_ms - self._checked_ms
        self._checked_ms = now_ms
        if pause_ms > MAX_CHECK_INTERVAL_MS:
            # Events that arrived during the pause have not been read yet.
            self.progress.discount_pause(pause_ms, now_ms)
        stalled = self.progress.stalled(now_ms)
        newly_stalled = stalled - self.stalled_locally
        self.stalled_locally = stalled
        return newly_stalled

    def update_remote(
        self, stalled: Collection[str], now_ms: int
    ) -> frozenset[str]:
        """Replaces the stalls reported in the fleet summary, by all entries.

        Returns:
            Servers that the previous summary did not contain.
        """
        newly_stalled = frozenset(stalled).difference(self._stalled_remotely)
        self._stalled_remotely = {
            s: self._stalled_remotely.get(s, now_ms) for s in stalled
        }
        return newly_stalled

    def notify(self, newly_stalled: frozenset[str]) -> None:
        """Calls the listeners if any server has just stalled."""
        if newly_stalled:
            for listener in self.listeners:
                listener(newly_stalled)

    def stalled_servers(self, now_ms: int) -> set[str]:
        """Returns the servers that are stalled for this or for other entries.

        Reported stalls expire after a while: by then the leader has found
        the cause.
        """
        remote = {
            s
            for s, reported_ms in self._stalled_remotely.items()
            if now_ms - reported_ms < REMOTE_STALL_TTL_MS
        }
        return remote | self.stalled_locally
