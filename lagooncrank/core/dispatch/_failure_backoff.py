"""Backend servers that failed a moment ago and are avoided for a while."""

from typing import Final

#: First time to avoid a server that failed; doubled by further failures.
AVOID_MS: Final = 500
MAX_AVOID_MS: Final = 4_000
#: A server without failures for this long is as good as any.
FORGIVE_MS: Final = 10_000


class FailureBackoff:
    """Remembers failures by backend server."""

    def __init__(self) -> None:
        self._failures: dict[str, int] = {}
        self._failed_ms: dict[str, int] = {}
        self._until_ms: dict[str, int] = {}

    def record_failure(self, server_id: str, now_ms: int) -> None:
        """Avoids a server from now on for a while."""
        failed_ms = self._failed_ms.get(server_id)
        if failed_ms is None or now_ms - failed_ms > FORGIVE_MS:
            self._failures[server_id] = 0
        failures = self._failures[server_id]
        self._failures[server_id] = failures + 1
        self._failed_ms[server_id] = now_ms
        avoid_ms = min(AVOID_MS << min(failures, 8), MAX_AVOID_MS)
        self._until_ms[server_id] = now_ms + avoid_ms

    def record_success(self, server_id: str) -> None:
        """Clears a server that answered."""
        self._until_ms.pop(server_id, None)
        self._failures.pop(server_id, None)
        self._failed_ms.pop(server_id, None)

    def avoided(self, now_ms: int) -> set[str]:
        """Returns the servers to be avoided if there are others."""
        return {
            s for s, until_ms in self._until_ms.items() if now_ms < until_ms
        }
