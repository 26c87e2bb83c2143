"""Check of the time that servers are given for a request."""

import collections
from collections.abc import Iterator
import dataclasses
import math
from typing import Final

#: By how much a deadline may be later than it should be.
SLACK_S: Final = 0.5
#: Requests that may be given too much time: this many, and this part of those
#: that were, and of all that were sent again late.
ALLOWED: Final = 20
ALLOWED_FRACTION: Final = 0.2
#: Requests that a text names.
MAX_NAMED: Final = 10


@dataclasses.dataclass(slots=True)
class _Sent:
    #: Time limit that the caller states, and when it gives up.
    limit_s: float
    ends_s: float
    #: When its first server gives up, and when that read the request.
    first_end_s: float = math.inf
    first_s: float = math.inf
    #: What each server read, for those who trace it.
    arrivals: list[str] = dataclasses.field(default_factory=list)


class Deadlines:
    """Records the deadlines that callers state and that servers receive."""

    def __init__(self) -> None:
        self._sent: dict[str, _Sent] = {}
        #: Requests that were given too much time, and those sent again late.
        self._too_long: list[str] = []
        self._sent_again: collections.Counter[str] = collections.Counter()

    def record_request(
        self, attempt_id: str, limit_s: float, now_s: float
    ) -> None:
        """Records a request that a caller sends with a time limit."""
        self._sent[attempt_id] = _Sent(limit_s, now_s + limit_s)

    def record_arrival(
        self,
        attempt_id: str,
        limit_ms: int | None,
        now_s: float,
        server_id: str = "",
    ) -> None:
        """Records the time limit that a server has read.

        Args:
            attempt_id: The request; one that no caller limited is ignored.
            limit_ms: Time limit; None for none.
            now_s: Current time.
            server_id: The server.
        """
        sent = self._sent.get(attempt_id)
        if sent is None:
            return
        limit_s = math.inf if limit_ms is None else limit_ms / 1_000
        sent.arrivals.append(f"{server_id}@{now_s:.2f}+{limit_s:.2f}")
        is_too_long = limit_s > sent.limit_s + SLACK_S
        if sent.first_s == math.inf:
            sent.first_s, sent.first_end_s = now_s, now_s + limit_s
        elif now_s - sent.first_s > SLACK_S:
            self._sent_again[attempt_id] += 1
            latest_s = max(sent.ends_s, sent.first_end_s) + SLACK_S
            is_too_long |= now_s + limit_s > latest_s
        if is_too_long:
            self._too_long.append(attempt_id)

    def violations(self) -> Iterator[str]:
        """Yields a text if servers were too often given too much time."""
        too_long = len(self._too_long)
        judged = len({*self._too_long, *self._sent_again})
        if too_long > ALLOWED and too_long > ALLOWED_FRACTION * judged:
            yield (
                f"BUDGET: {too_long} requests of {judged} came with more time "
                f"than was left: {self._describe()}"
            )

    def _describe(self) -> str:
        """Returns what the first of those requests were given, and when."""
        return "; ".join(
            f"{attempt_id} until {self._sent[attempt_id].ends_s:.2f}: "
            + " ".join(self._sent[attempt_id].arrivals)
            for attempt_id in self._too_long[:MAX_NAMED]
        )

    def summary(self) -> str:
        """Returns how many requests were judged."""
        return (
            f"{len(self._too_long)} deadlines too late ({self._describe()}), "
            f"{self._sent_again.total()} repeats after {SLACK_S} s"
        )
