"""Check that nothing is sent to servers for callers that have left."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
from typing import Final

#: A request that arrives so long after its caller has left was not in flight.
MAX_LATE_S: Final = 0.5
#: "More than a few" requests violate the rule.
ALLOWED_LATE: Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _Late:
    attempt_id: str
    left_s: float
    arrived_s: float


class LeftCallers:
    """Records who left, and which of their requests servers got later."""

    def __init__(self) -> None:
        self._left_s: dict[str, float] = {}
        self._late: list[_Late] = []

    @property
    def left(self) -> int:
        """Number of callers that left."""
        return len(self._left_s)

    @property
    def late(self) -> int:
        """Number of requests that arrived long after their caller had left."""
        return len(self._late)

    def record_left(self, attempt_id: str, now_s: float) -> None:
        """Records that the caller of a request has closed its connection."""
        self._left_s[attempt_id] = now_s

    def record_arrival(self, attempt_id: str, now_s: float) -> None:
        """Records that a server has got a request."""
        left_s = self._left_s.get(attempt_id)
        if left_s is not None and now_s - left_s > MAX_LATE_S:
            self._late.append(_Late(attempt_id, left_s, now_s))

    def violations(
        self, counts: Callable[[str, float, float], bool]
    ) -> Iterator[str]:
        """Yields if servers got too many requests of callers that had left.

        Args:
            counts: Whether a request counts, by its id, the time at which its
                caller left, and that of its arrival.
        """
        late = [
            r.attempt_id
            for r in self._late
            if counts(r.attempt_id, r.left_s, r.arrived_s)
        ]
        if len(late) > ALLOWED_LATE:
            yield (
                f"GONE: {len(late)} requests reached servers over "
                f"{MAX_LATE_S} s after their callers had left: {late[:10]}"
            )
