"""Exponential backoff for backend servers that failed recently."""

from typing import Final

#: How long a server is avoided after its first failure; each further failure
#: doubles it, up to the maximum.
AVOID_MS: Final = 500
MAX_AVOID_MS: Final = 4_000
#: Time without a failure after which the backoff starts from its first value.
RESET_AFTER_MS: Final = 10_000


class FailureBackoff:
    """Tracks which backend servers to avoid after failures."""

    def __init__(self) -> None:
        self._failures: dict[str, int] = {}
        self._failed_ms: dict[str, int] = {}
        self._avoided_until_ms: dict[str, int] = {}

    def record_failure(self, server_id: str, now_ms: int) -> None:
        """Records a failure and avoids the server for its backoff time."""
        failed_ms = self._failed_ms.get(server_id)
        if failed_ms is None or now_ms - failed_ms > RESET_AFTER_MS:
            self._failures[server_id] = 0
        failures = self._failures[server_id]
        self._failures[server_id] = failures + 1
        self._failed_ms[server_id] = now_ms
        avoid_ms = min(AVOID_MS << min(failures, 8), MAX_AVOID_MS)
        self._avoided_until_ms[server_id] = now_ms + avoid_ms

    def record_success(self, server_id: str) -> None:
        """Clears the failures of a server that responded."""
        self._avoided_until_ms.pop(server_id, None)
        self._failures.pop(server_id, None)
        self._failed_ms.pop(server_id, None)

    def avoided(self, now_ms: int) -> set[str]:
        """Returns the servers to avoid if there are others."""
        return {
            s
            for s, until_ms in self._avoided_until_ms.items()
            if now_ms < until_ms
        }
