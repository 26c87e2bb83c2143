"""Retry budget of a service that all entries share.

A budget allows a fixed number of retries per window plus a fraction of the
requests. Each entry uses an equal share of the fixed number and counts only
its own requests for the fraction, so that the retries of all entries stay
within the budget without any coordination, also when entries restart: they
start without any retries saved up.
"""

import collections
import dataclasses
from typing import Final

from lagooncrank import model
from lagooncrank.core import windows

#: Fraction of its share of a window's fixed number that an entry may save up,
#: and that it gets back within one window. Any window has at most both.
SAVED_FRACTION: Final = 0.45
#: Usable fraction of what an entry's requests of the last window allow. Retries
#: within one window may be based on the requests of two.
REQUESTS_FRACTION: Final = 0.45
#: Number of entries that is assumed until it is known, when the system starts
#: for the first time.
ASSUMED_ENTRIES: Final = 128


class _SpentWindow:
    """Sum of what was spent in the last window, in retries."""

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._spent: collections.deque[tuple[int, float]] = collections.deque()

    def record(self, now_ms: int, retries: float) -> None:
        """Records that retries, or a part of one, were spent."""
        self._spent.append((now_ms, retries))

    def sum(self, now_ms: int) -> float:
        """Returns what was spent within the window."""
        oldest_ms = now_ms - self._window_ms
        while self._spent and self._spent[0][0] < oldest_ms:
            self._spent.popleft()
        return sum(retries for _, retries in self._spent)


@dataclasses.dataclass(slots=True)
class _Account:
    """What an entry may spend on the retries of one service."""

    requests: windows.SlidingWindow
    #: Retries, or parts of them, that the requests paid for.
    spent: _SpentWindow
    #: Part of this entry's share of a window's fixed number that is saved up.
    #: The share itself may change with the number of entries.
    saved: float
    updated_ms: int


class SharedRetryBudget:
    """Limits the retries of one entry, by service."""

    def __init__(
        self,
        rules: model.RetryBudgetRules,
        started_ms: int,
        *,
        is_first_start: bool,
    ) -> None:
        """Creates the budget of an entry that has just started.

        Args:
            rules: The budget that all entries share.
            started_ms: Start of the process, on its monotonic clock.
            is_first_start: Whether no earlier process of this entry can have
                spent anything.
        """
        self._rules = rules
        self._started_ms = started_ms
        self._saved_at_start = SAVED_FRACTION if is_first_start else 0.0
        self._assumed_entries = ASSUMED_ENTRIES if is_first_start else None
        self._accounts: dict[model.ServiceName, _Account] = {}

    def record_request(self, service: model.ServiceName, now_ms: int) -> None:
        """Counts a request that a caller sent to a service."""
        self._account(service).requests.record(now_ms)

    def try_acquire(
        self, service: model.ServiceName, entry_count: int | None, now_ms: int
    ) -> bool:
        """Spends one retry from the budget.

        Args:
            service: Service that the request is retried at.
            entry_count: Number of entries that share the budget, not less than
                there were in the last window; None if it is not known.
            now_ms: Monotonic time in milliseconds.

        Returns:
            Whether the budget allows the retry.
        """
        account = self._account(service)
        self._refill(account, now_ms)
        rules = self._rules
        share = 0.0
        if entry_count is None:
            entry_count = self._assumed_entries
        if entry_count is not None:
            share = rules.extra / max(entry_count, 1)
        allowed = (
            REQUESTS_FRACTION * rules.ratio * account.requests.count(now_ms)
        )
        unspent = min(max(allowed - account.spent.sum(now_ms), 0.0), 1.0)
        missing = 1.0 - unspent
        if missing > account.saved * share:
            return False
        # What the requests allow is lost with them, so it is used first.
        account.spent.record(now_ms, unspent)
        if missing:
            account.saved -= missing / share
        return True

    def _refill(self, account: _Account, now_ms: int) -> None:
        passed_ms = max(now_ms - account.updated_ms, 0)
        account.updated_ms += passed_ms
        refilled = SAVED_FRACTION * passed_ms / self._rules.window_ms
        account.saved = min(account.saved + refilled, SAVED_FRACTION)

    def _account(self, service: model.ServiceName) -> _Account:
        account = self._accounts.get(service)
        if account is None:
            window_ms = self._rules.window_ms
            account = _Account(
                windows.SlidingWindow(window_ms),
                _SpentWindow(window_ms),
                self._saved_at_start,
                self._started_ms,
            )
            self._accounts[service] = account
        return account
