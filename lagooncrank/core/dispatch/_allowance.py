"""How many repeated sends this entry may add to a service's load.

The limit holds over all entries together. Each entry takes an equal part of
the fixed allowance and counts only its own requests for the relative one, so
that the parts add up to no more than the whole without asking anybody.
"""

import collections
import dataclasses
from typing import Final

from lagooncrank import model

#: Part of the limit that is used: windows of different entries do not begin
#: together, and an entry that starts again has forgotten what it spent.
USED_PART: Final = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class AllowanceRules:
    """Limit on repeated sends of all entries to one service."""

    window_ms: int
    #: Repeats allowed per request in a window.
    ratio: float
    #: Repeats allowed beside those.
    extra: float


@dataclasses.dataclass(slots=True)
class _Counts:
    requests_ms: collections.deque[int]
    repeats_ms: collections.deque[int]


class RetryAllowance:
    """Sliding counts of requests and repeats, by service."""

    def __init__(self, rules: AllowanceRules) -> None:
        self._rules = rules
        self._services: dict[model.ServiceName, _Counts] = {}

    def note_request(self, service: model.ServiceName, now_ms: int) -> None:
        """Counts a request that a caller sent for a service."""
        self._counts(service, now_ms).requests_ms.append(now_ms)

    def take(
        self, service: model.ServiceName, entries: int, now_ms: int
    ) -> bool:
        """Spends one repeat if it is allowed.

        Args:
            service: Service that gets the request once more.
            entries: Entries that share the fixed allowance.
            now_ms: Monotonic time.
        """
        counts = self._counts(service, now_ms)
        rules = self._rules
        allowed = USED_PART * (
            rules.extra / max(entries, 1)
            + rules.ratio * len(counts.requests_ms)
        )
        if len(counts.repeats_ms) + 1 > allowed:
            return False
        counts.repeats_ms.append(now_ms)
        return True

    def _counts(self, service: model.ServiceName, now_ms: int) -> _Counts:
        counts = self._services.get(service)
        if counts is None:
            counts = _Counts(collections.deque(), collections.deque())
            self._services[service] = counts
        oldest_ms = now_ms - self._rules.window_ms
        for times in (counts.requests_ms, counts.repeats_ms):
            while times and times[0] < oldest_ms:
                times.popleft()
        return counts
