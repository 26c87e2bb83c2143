"""Durations of recent requests by route, and the longest to be expected."""

import dataclasses
from typing import Final

#: Durations are used for one to two of these periods.
PERIOD_MS: Final = 30_000
#: Requests of a route without which nothing is expected of it.
MIN_SAMPLES: Final = 16
#: The longest expected duration in terms of the longest recent one.
SAFETY_FACTOR: Final = 1.5


@dataclasses.dataclass(slots=True)
class _Longest:
    """Longest durations of a route in one period."""

    samples: int = 0
    whole_ms: float = 0.0
    #: Time to the first event.
    first_ms: float = 0.0
    #: Time after the first event, for each output token that was allowed.
    token_ms: float = 0.0

    def record(self, output_tokens: int, first_ms: int, whole_ms: int) -> None:
        self.samples += 1
        self.whole_ms = max(self.whole_ms, whole_ms)
        self.first_ms = max(self.first_ms, first_ms)
        if output_tokens:
            token_ms = (whole_ms - first_ms) / output_tokens
            self.token_ms = max(self.token_ms, token_ms)

    def merged(self, other: "_Longest") -> "_Longest":
        return _Longest(
            self.samples + other.samples,
            max(self.whole_ms, other.whole_ms),
            max(self.first_ms, other.first_ms),
            max(self.token_ms, other.token_ms),
        )


class RecentDurations:
    """Longest recent durations of each route's requests.

    >>> durations = RecentDurations()
    >>> for _ in range(MIN_SAMPLES):
    ...     durations.record("drafts", 100, 200, 1_200, now_ms=0)
    >>> durations.longest_ms("drafts", 300, now_ms=0)
    4800
    """

    def __init__(self) -> None:
        self._began_ms = 0
        self._current: dict[str, _Longest] = {}
        self._previous: dict[str, _Longest] = {}

    def record(
        self,
        route: str,
        output_tokens: int,
        first_ms: int,
        whole_ms: int,
        now_ms: int,
    ) -> None:
        """Records a request that ended.

        Args:
            route: Name of its route.
            output_tokens: Maximum number of output tokens; 0 if not stated.
            first_ms: Time from its arrival to its first event.
            whole_ms: Time from its arrival to its end.
            now_ms: Current time.
        """
        self._rotate(now_ms)
        longest = self._current.setdefault(route, _Longest())
        longest.record(output_tokens, first_ms, whole_ms)

    def longest_ms(
        self, route: str, output_tokens: int, now_ms: int
    ) -> int | None:
        """Returns how long a request will take at most, as far as is known.

        Returns:
            None if too few requests of the route have ended recently.
        """
        self._rotate(now_ms)
        longest = self._current.get(route, _Longest()).merged(
            self._previous.get(route, _Longest())
        )
        if longest.samples < MIN_SAMPLES:
            return None
        expected_ms = longest.whole_ms
        if output_tokens and longest.token_ms:
            expected_ms = longest.first_ms + longest.token_ms * output_tokens
        return int(SAFETY_FACTOR * expected_ms)

    def _rotate(self, now_ms: int) -> None:
        """Forgets the previous period when the current one is over."""
        periods = (now_ms - self._began_ms) // PERIOD_MS
        if periods <= 0:
            return
        self._previous = self._current if periods == 1 else {}
        self._current = {}
        self._began_ms = now_ms
