"""Check that servers that have left get nothing more."""

from collections.abc import Callable
from collections.abc import Iterator


class LeftServers:
    """Records servers that leave and what they get.

    Args:
        drain_s: Time after the acknowledgement until which requests may come.
    """

    def __init__(self, drain_s: float) -> None:
        self._drain_s = drain_s
        self._left_s: dict[str, float] = {}
        self._late: list[tuple[str, str, float]] = []

    def record_left(self, server_id: str, now_s: float) -> None:
        """Records the first acknowledgement that a server leaves."""
        self._left_s.setdefault(server_id, now_s)

    def record_arrival(
        self, server_id: str, attempt_id: str, now_s: float
    ) -> None:
        """Records a request that the server did not reject."""
        left_s = self._left_s.get(server_id)
        if left_s is not None and now_s > left_s + self._drain_s:
            self._late.append((server_id, attempt_id, now_s))

    def violations(
        self, is_in_touch: Callable[[str, float], bool]
    ) -> Iterator[str]:
        """Yields late arrivals.

        Args:
            is_in_touch: Whether the entry that took a request was in touch
                until it arrived.
        """
        for server_id, attempt_id, now_s in self._late:
            if is_in_touch(attempt_id, now_s):
                yield (
                    f"DRAIN: {attempt_id} reached {server_id} "
                    f"{now_s - self._left_s[server_id]:.2f} s after its "
                    "leaving was acknowledged"
                )
