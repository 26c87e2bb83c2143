"""When each backend server last showed that it is alive.

The reports of servers reach an entry too late to tell a silent server from a
sound one, and the kernel of a process that stands still accepts connections and
requests. Only what the server itself has just sent shows that it reads.
"""

from typing import Final

#: Age up to which a sign shows that a server is not silent. It is shorter than
#: any silence for which a run is given up: what silences several servers at one
#: moment shows at all of them by then.
FRESH_MS: Final = 200
#: Number of servers from which on old signs are forgotten.
MAX_SERVERS: Final = 4_096


class LifeSigns:
    """Observed time of the last sign of each server."""

    def __init__(self) -> None:
        self._heard_ms: dict[str, int] = {}

    def record(self, server_id: str, observed_ms: int) -> None:
        """Records that a server has sent something.

        Args:
            server_id: The server.
            observed_ms: Time in which this process could receive.
        """
        self._heard_ms[server_id] = observed_ms
        if len(self._heard_ms) > MAX_SERVERS:
            self._heard_ms = {
                known_id: heard_ms
                for known_id, heard_ms in self._heard_ms.items()
                if observed_ms - heard_ms < FRESH_MS
            }

    def heard_ago_ms(self, server_id: str, observed_ms: int) -> int | None:
        """Returns the age of a server's last sign; None if none is known."""
        heard_ms = self._heard_ms.get(server_id)
        return None if heard_ms is None else observed_ms - heard_ms

    def is_live(self, server_id: str, observed_ms: int) -> bool:
        """Returns whether a server has sent something just now."""
        ago_ms = self.heard_ago_ms(server_id, observed_ms)
        return ago_ms is not None and ago_ms < FRESH_MS
