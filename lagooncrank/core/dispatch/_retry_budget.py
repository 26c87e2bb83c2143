"""Retry budget of a service that all entries share.

A budget allows a fixed number of retries per window plus a fraction of the
requests. Each entry uses an equal share of the fixed number and counts only
its own requests for the fraction, so that the retries of all entries stay
within the budget without any coordination.
"""

import dataclasses
from typing import Final

from lagooncrank import model
from lagooncrank.core import windows

#: Fraction of the budget that is used. The margin is needed because the windows
#: of different entries are not aligned, and because an entry that restarts
#: loses its counts.
USABLE_FRACTION: Final = 0.6


@dataclasses.dataclass(slots=True)
class _Counts:
    requests: windows.SlidingWindow
    retries: windows.SlidingWindow


class SharedRetryBudget:
    """Limits the retries of one entry, by service."""

    def __init__(self, rules: model.RetryBudgetRules) -> None:
        self._rules = rules
        self._services: dict[model.ServiceName, _Counts] = {}

    def record_request(self, service: model.ServiceName, now_ms: int) -> None:
        """Counts a request that a caller sent to a service."""
        self._counts(service).requests.record(now_ms)

    def try_acquire(
        self, service: model.ServiceName, entry_count: int, now_ms: int
    ) -> bool:
        """Spends one retry from the budget.

        Args:
            service: Service that the request is retried at.
            entry_count: Number of entries that share the budget.
            now_ms: Monotonic time in milliseconds.

        Returns:
            Whether the budget allows the retry.
        """
        counts = self._counts(service)
        rules = self._rules
        allowed = USABLE_FRACTION * (
            rules.extra / max(entry_count, 1)
            + rules.ratio * counts.requests.count(now_ms)
        )
        if counts.retries.count(now_ms) + 1 > allowed:
            return False
        counts.retries.record(now_ms)
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
