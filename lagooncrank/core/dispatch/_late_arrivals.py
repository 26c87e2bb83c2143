"""Attempts that silent servers have not read yet.

An attempt that was given up at a server which stands still is read when that
goes on. It arrives then, beyond the attempt that took its place, although it
was paid for long before.
"""

import collections
from typing import Final

from lagooncrank import model

#: Time after which an attempt is taken for lost with its server.
MAX_AGE_MS: Final = 10_000


class LateArrivals:
    """Abandoned attempts by server, until it shows that it reads again."""

    def __init__(self) -> None:
        self._abandoned: dict[str, list[tuple[int, model.ServiceName]]] = {}

    def add(
        self, server_id: str, service: model.ServiceName, now_ms: int
    ) -> None:
        """Records an attempt that was given up at a silent server.

        Args:
            server_id: The server.
            service: Its service.
            now_ms: Monotonic time in milliseconds.
        """
        self._forget_old(now_ms)
        self._abandoned.setdefault(server_id, []).append((now_ms, service))

    def __contains__(self, server_id: str) -> bool:
        return server_id in self._abandoned

    def take(
        self, server_id: str, now_ms: int
    ) -> collections.Counter[model.ServiceName]:
        """Returns how many attempts a server reads now, and forgets them."""
        abandoned = self._abandoned.pop(server_id, ())
        return collections.Counter(
            service
            for given_up_ms, service in abandoned
            if now_ms - given_up_ms < MAX_AGE_MS
        )

    def _forget_old(self, now_ms: int) -> None:
        self._abandoned = {
            server_id: abandoned
            for server_id, abandoned in self._abandoned.items()
            if now_ms - abandoned[-1][0] < MAX_AGE_MS
        }
