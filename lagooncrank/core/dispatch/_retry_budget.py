"""How many repeated sends this entry may add to a service's load.

The limit holds over all entries together. Each entry takes an equal part of
the fixed allowance and counts only its own requests for the relative one, so
that the parts add up to no more than the whole without asking anybody.
"""

import dataclasses
from typing import Final

from lagooncrank import model
from lagooncrank.core import windows

#: Part of the limit that is used: windows of different entries do not begin
#: together, and an entry that starts again has forgotten what it spent.
USED_PART: Final = 0.6


@dataclasses.dataclass(slots=True)
class _Counts:
    requests: windows.SlidingWindow
    repeats: windows.SlidingWindow


class SharedRetryBudget:
    """Sliding counts of requests and repeats, by service."""

    def __init__(self, rules: model.AllowanceRules) -> None:
        self._rules = rules
        self._services: dict[model.ServiceName, _Counts] = {}

    def record_request(self, service: model.ServiceName, now_ms: int) -> None:
        """Counts a request that a caller sent for a service."""
        self._counts(service).requests.record(now_ms)

    def try_acquire(
        self, service: model.ServiceName, entries: int, now_ms: int
    ) -> bool:
        """Spends one repeat if it is allowed.

        Args:
            service: Service that gets the request once more.
            entries: Entries that share the fixed allowance.
            now_ms: Monotonic time.
        """
        counts = self._counts(service)
        rules = self._rules
        allowed = USED_PART * (
            rules.extra / max(entries, 1)
            + rules.ratio * counts.requests.count(now_ms)
        )
        if counts.repeats.count(now_ms) + 1 > allowed:
            return False
        counts.repeats.record(now_ms)
        return True

    def _counts(self, service: model.ServiceName) -> _Counts:
        counts = self._services.get(service)
        if counts is None:
            window_ms = self._rules.window_ms
            counts = _Counts(
                windows.SlidingWindow(window_ms),
                windows.SlidingWindow(window_ms),
            )
            self._services[service] = counts
        return counts
