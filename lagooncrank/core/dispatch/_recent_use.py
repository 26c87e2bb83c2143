"""Requests that client accounts have sent recently."""

from collections.abc import Mapping
from typing import Final

from lagooncrank.core import windows

#: Time over which the requests of an account count.
RECENT_USE_MS: Final = 5_000


class RecentUse:
    """Counts recent requests by client account.

    Where servers limit their requests, few run at a time: only a count over
    some seconds shows which account gets most of them.
    """

    def __init__(self) -> None:
        self._windows: dict[str, windows.SlidingWindow] = {}

    def record(self, account: str, now_ms: int) -> None:
        """Records a request of an account."""
        window = self._windows.get(account)
        if window is None:
            window = windows.SlidingWindow(RECENT_USE_MS)
            self._windows[account] = window
        window.record(now_ms)

    def counts(self, now_ms: int) -> Mapping[str, int]:
        """Returns the recent requests of each account that has any."""
        counts = {a: w.count(now_ms) for a, w in self._windows.items()}
        for account, count in counts.items():
            if not count:
                del self._windows[account]
        return {account: count for account, count in counts.items() if count}
