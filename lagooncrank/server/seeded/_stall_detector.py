"""Detects backend servers whose responses have stalled."""

from collections.abc import Callable
from collections.abc import Collection
from typing import Final

from lagooncrank.core import dispatch

#: Time for which a stall that the fleet summary reports is used.
REMOTE_STALL_TTL_MS: Final = 1_500
#: Time for which a server is suspected after a request timed out there.
SUSPICION_MS: Final = 1_000


class StallDetector:
    """Combines stalls of this entry's streams with those others report."""

    def __init__(self) -> None:
        self.progress = dispatch.StreamProgress()
        #: Called with servers that have just stalled.
        self.listeners: list[Callable[[frozenset[str]], None]] = []
        #: Servers on which this entry's streams are stalled.
        self.stalled_locally: frozenset[str] = frozenset()
        #: Servers that any entry reports as stalled, with the time at which
        #: this entry received the first report.
        self._stalled_remotely: dict[str, int] = {}
        #: Servers at which a request of this entry timed out, with the time.
        self._timed_out_ms: dict[str, int] = {}

    def check_streams(self, observed_ms: int) -> frozenset[str]:
        """Checks this entry's streams.

        Args:
            observed_ms: Time in which this entry could read events.

        Returns:
            Servers that have stalled since the last check.
        """
        stalled = self.progress.stalled(observed_ms)
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

    def record_timeout(self, server_id: str, now_ms: int) -> None:
        """Records that a request timed out before its first event.

        The server may have failed, or its group may only be full.
        """
        self._timed_out_ms[server_id] = now_ms

    def suspected(self, now_ms: int) -> frozenset[str]:
        """Returns the servers at which a request has just timed out."""
        self._timed_out_ms = {
            server_id: timed_out_ms
            for server_id, timed_out_ms in self._timed_out_ms.items()
            if now_ms - timed_out_ms < SUSPICION_MS
        }
        return frozenset(self._timed_out_ms)

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
