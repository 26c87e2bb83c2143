"""Check that nothing is sent to servers for callers that have left."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import pathlib
from typing import Final

from lagooncrank import decisions
from soak import _charges

#: A request that arrives so long after its caller has left was not in flight.
MAX_LATE_MS: Final = 500
#: "More than a few" requests violate the rule.
ALLOWED_LATE: Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class LateRequest:
    """A request that arrived long after its caller had left."""

    attempt_id: str
    left_ms: int
    arrived_ms: int


class LeftCallers:
    """Records who left, and which of their requests servers got later.

    All times are of the machine's wall clock, as those of the entries' logs.
    """

    def __init__(self) -> None:
        self._left_ms: dict[str, int] = {}
        self._late: list[LateRequest] = []

    @property
    def left(self) -> int:
        """Number of callers that left."""
        return len(self._left_ms)

    @property
    def late(self) -> int:
        """Number of requests that arrived long after their caller had left."""
        return len(self._late)

    def record_left(self, attempt_id: str, now_ms: int) -> None:
        """Records that the caller of a request has closed its connection."""
        self._left_ms[attempt_id] = now_ms

    def record_arrival(self, attempt_id: str, now_ms: int) -> None:
        """Records that a server has got a request."""
        left_ms = self._left_ms.get(attempt_id)
        if left_ms is not None and now_ms - left_ms > MAX_LATE_MS:
            self._late.append(LateRequest(attempt_id, left_ms, now_ms))

    def violations(
        self,
        noticed_ms: Mapping[str, int],
        counts: Callable[[LateRequest], bool],
    ) -> Iterator[str]:
        """Yields if servers got too many requests of callers that had left.

        Args:
            noticed_ms: When an entry logged that a caller had left. After that
                it sends nothing: what arrives later than a prompt entry noticed
                was held up on its way, or read late by its server.
            counts: Whether a late request counts.
        """
        late = [
            r.attempt_id
            for r in self._late
            if noticed_ms.get(r.attempt_id, r.arrived_ms)
            > r.left_ms + MAX_LATE_MS
            and counts(r)
        ]
        if len(late) > ALLOWED_LATE:
            yield (
                f"GONE: {len(late)} requests reached servers over "
                f"{MAX_LATE_MS} ms after their callers had left: {late[:10]}"
            )


def read_departures(log_files: Iterable[pathlib.Path]) -> dict[str, int]:
    """Returns when entries noticed that the callers of requests had left."""
    noticed_ms = {}
    event = decisions.Event.CALLER_LEFT.value
    for log_file in log_files:
        for line in log_file.read_bytes().splitlines():
            if event.encode() not in line:
                continue
            fields = _charges.decode_line(line)
            if fields.get("event") == event:
                noticed_ms[fields["request"]] = fields["wall_ms"]
    return noticed_ms
