"""Stages of a planned stop, and which requests fit into what is left."""

import dataclasses
from typing import Final

#: Fraction of the grace period after which what still runs is cut. The rest of
#: it is for the end of the process itself.
CUT_FRACTION: Final = 0.93
#: Fraction for which each request is served; streams that began then mostly end
#: before the cut.
SERVE_ALL_FRACTION: Final = 0.35
#: Fraction for which new connections are accepted: few requests fit later, and
#: the entry is back sooner if it ends.
ACCEPT_FRACTION: Final = 0.5
#: Shortest duration that is expected of any request.
MIN_DURATION_MS: Final = 300
#: Longest time for which a sound backend server falls silent and goes on.
MAX_PAUSE_MS: Final = 1_500


@dataclasses.dataclass(frozen=True, slots=True)
class StopPlan:
    """Times of one planned stop.

    >>> plan = StopPlan.from_grace(0, grace_ms=8_000)
    >>> plan.serves_all_until_ms, plan.accepts_until_ms, plan.cut_ms
    (2800, 4000, 7440)
    """

    #: Until then each request is served.
    serves_all_until_ms: int
    #: Until then new connections are accepted.
    accepts_until_ms: int
    #: When the remaining requests are cut.
    cut_ms: int

    @classmethod
    def from_grace(cls, started_ms: int, grace_ms: int) -> "StopPlan":
        """Returns the plan of a stop that starts now.

        Args:
            started_ms: Current time.
            grace_ms: Time after which the process is killed.
        """
        return cls(
            started_ms + int(grace_ms * SERVE_ALL_FRACTION),
            started_ms + int(grace_ms * ACCEPT_FRACTION),
            started_ms + int(grace_ms * CUT_FRACTION),
        )

    @property
    def latest_resume_ms(self) -> int:
        """Until when a stream that has begun may be resumed, whatever is left.

        Later, not even the shortest rest would end before the cut.
        """
        return self.cut_ms - MIN_DURATION_MS - MAX_PAUSE_MS

    def latest_start_ms(self, deadline_ms: int, longest_ms: int | None) -> int:
        """Returns until when a request may be sent to a backend server.

        A request with an early deadline ends in any case before the cut, if it
        is sent at once.

        Args:
            deadline_ms: When its response must be complete.
            longest_ms: Time that it takes at most while its server does not
                pause, as far as is known.
        """
        latest_ms = self.serves_all_until_ms
        if longest_ms is not None:
            needed_ms = max(longest_ms, MIN_DURATION_MS) + MAX_PAUSE_MS
            latest_ms = max(latest_ms, self.cut_ms - needed_ms)
        if deadline_ms <= self.cut_ms:
            latest_ms = max(latest_ms, self.cut_ms - MIN_DURATION_MS)
        return latest_ms
