"""Retry budget of a service that all entries share.

A budget allows a fixed number of retries per window plus a fraction of the
requests. Each entry uses an equal share of the fixed number and counts only
its own requests for the fraction, so that the retries of all entries stay
within the budget without any coordination, also when entries restart: they
start without any retries saved up.
"""

import dataclasses
from typing import Final

from lagooncrank import model
from lagooncrank.core import windows

#: Usable fraction of a window's allowance. The rest covers retries that arrive
#: late, and entries that others do not know of yet.
USABLE_FRACTION: Final = 0.9
#: Part of it that an entry may save up. What is left comes in the course of a
#: window, so that any window has at most both.
SAVED_FRACTION: Final = 0.3
REFILL_FRACTION: Final = USABLE_FRACTION - SAVED_FRACTION
#: Rounding error of sums of fractions.
_ROUNDING: Final = 1e-9
#: Number of entries that is assumed until it is known, when the system starts
#: for the first time.
ASSUMED_ENTRIES: Final = 128


@dataclasses.dataclass(slots=True)
class _Account:
    """What an entry may spend on the retries of one service."""

    requests: windows.SlidingWindow
    #: Retries, or parts of one, that the requests have paid for.
    paid: float
    #: Part of this entry's share of a window's fixed number that is saved up.
    #: The share itself may change with the number of entries. It is negative
    #: while late arrivals have not been paid for.
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
        account = self._account(service)
        account.requests.record(now_ms)
        account.paid += REFILL_FRACTION * self._rules.ratio
        self._limit_paid(account, now_ms)

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
        share = self._share(entry_count)
        self._refill(account, share, now_ms)
        self._limit_paid(account, now_ms)
        _pay_debt(account, share)
        # What the requests have paid for is lost with them: it is used first.
        from_paid = min(account.paid, 1.0)
        missing = 1.0 - from_paid
        if missing > account.saved * share + _ROUNDING:
            return False
        account.paid -= from_paid
        if missing and share:
            account.saved = max(account.saved - missing / share, 0.0)
        return True

    def charge_late(
        self,
        service: model.ServiceName,
        count: int,
        entry_count: int | None,
        now_ms: int,
    ) -> None:
        """Charges attempts that a server reads long after they were paid for.

        They count in the window in which they arrive. What the account lacks
        has to be earned before the next retry.

        Args:
            service: Service of the server.
            count: Number of attempts.
            entry_count: As for `try_acquire`.
            now_ms: Monotonic time in milliseconds.
        """
        account = self._account(service)
        share = self._share(entry_count)
        self._refill(account, share, now_ms)
        if share:
            account.saved -= count / share
        else:
            account.paid -= count

    def _share(self, entry_count: int | None) -> float:
        """Returns this entry's share of a window's fixed number."""
        if entry_count is None:
            entry_count = self._assumed_entries
        if entry_count is None:
            return 0.0
        return self._rules.extra / max(entry_count, 1)

    def _limit_paid(self, account: _Account, now_ms: int) -> None:
        allowance = self._rules.ratio * account.requests.count(now_ms)
        account.paid = min(account.paid, SAVED_FRACTION * allowance)

    def _refill(self, account: _Account, share: float, now_ms: int) -> None:
        limit = SAVED_FRACTION
        if share:
            # With many entries it takes more to save up a whole retry.
            limit = min(max(limit, 1.0 / share), USABLE_FRACTION)
        passed_ms = max(now_ms - account.updated_ms, 0)
        account.updated_ms += passed_ms
        refilled = (USABLE_FRACTION - limit) * passed_ms / self._rules.window_ms
        account.saved = min(account.saved + refilled, limit)

    def _account(self, service: model.ServiceName) -> _Account:
        account = self._accounts.get(service)
        if account is None:
            window_ms = self._rules.window_ms
            account = _Account(
                windows.SlidingWindow(window_ms),
                0.0,
                self._saved_at_start,
                self._started_ms,
            )
            self._accounts[service] = account
        return account


def _pay_debt(account: _Account, share: float) -> None:
    """Pays for late arrivals with what the requests have paid for."""
    if share and account.saved < 0 and account.paid > 0:
        payment = min(account.paid, -account.saved * share)
        account.paid -= payment
        account.saved += payment / share
