"""Stages of a planned stop, and which requests fit into what is left."""

import dataclasses
from typing import Final

#: Time before the end of the grace period at which what still runs is cut. The
#: connections are closed and the process ends in it.
END_RESERVE_MS: Final = 300
#: Fraction of a short grace period after which it is cut.
MIN_CUT_FRACTION: Final = 0.93
#: Time before the cut at which the wait for responses ends, so that their
#: callers are still told.
ANSWER_RESERVE_MS: Final = 100
#: Fraction of a short grace period for which responses are awaited.
MIN_ANSWER_FRACTION: Final = 0.9
#: Fraction of the grace period for which each request is served, and new
#: connections are accepted. Streams that began then mostly end before the cut;
#: later a refused connection sends callers to another entry at once.
SERVE_ALL_FRACTION: Final = 0.35
#: Shortest duration that is expected of any request.
MIN_DURATION_MS: Final = 300
#: Longest time for which a sound backend server falls silent and goes on.
MAX_PAUSE_MS: Final = 1_500


@dataclasses.dataclass(frozen=True, slots=True)
class StopPlan:
    """Times of one planned stop.

    >>> plan = StopPlan.from_grace(0, grace_ms=8_000)
    >>> plan.serves_all_until_ms, plan.answers_until_ms, plan.cut_ms
    (2800, 7600, 7700)
    """

    #: Until then each request is served, and connections are accepted.
    serves_all_until_ms: int
    #: When requests without a response are ended, and their callers told.
    answers_until_ms: int
    #: When the remaining requests are cut.
    cut_ms: int

    @classmethod
    def from_grace(cls, started_ms: int, grace_ms: int) -> "StopPlan":
        """Returns the plan of a stop that starts now.

        Args:
            started_ms: Current time.
            grace_ms: Time after which the process is killed.
        """
        cut_after_ms = max(
            grace_ms - END_RESERVE_MS, int(grace_ms * MIN_CUT_FRACTION)
        )
        answer_after_ms = max(
            cut_after_ms - ANSWER_RESERVE_MS,
            int(grace_ms * MIN_ANSWER_FRACTION),
        )
        return cls(
            started_ms + int(grace_ms * SERVE_ALL_FRACTION),
            started_ms + answer_after_ms,
            started_ms + cut_after_ms,
        )

    @property
    def latest_resume_ms(self) -> int:
        """Until when a stream that has begun may be resumed, whatever is left.

        Later, not even the shortest rest would end before the cut.
        """
        return self.cut_ms - MIN_DURATION_MS - MAX_PAUSE_MS

    def latest_start_ms(self, deadline_ms: int) -> int:
        """Returns until when a request may be sent to a backend server.

        Only its deadline tells how long a request takes at most: those before
        it may have been shorter. One that must be complete before the cut is
        not cut, whatever its server does.

        Args:
            deadline_ms: When its response must be complete.
        """
        if deadline_ms > self.answers_until_ms:
            return self.serves_all_until_ms
        return max(
            self.serves_all_until_ms, self.answers_until_ms - MIN_DURATION_MS
        )
