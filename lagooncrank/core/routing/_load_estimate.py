"""Estimate of a target's load from exact own counts and delayed reports."""

import collections

from lagooncrank.core.routing import _types

#: Age up to which own counts are retained; load reports arrive with less
#: delay.
HISTORY_MS = 10_000


class TargetLoad:
    """Estimated number of requests in flight at one target.

    A load report includes requests of this entry, as of the time that it
    describes. Therefore the number that this entry had in flight at that time
    is subtracted from the report, and the number that it has in flight now is
    added.
    """

    def __init__(self) -> None:
        #: Requests of this entry in flight.
        self.own = 0
        #: Prompt tokens of this entry's requests without a first token yet.
        self.own_prefill_tokens = 0
        #: Own count before the oldest change in the history.
        self._own_before_history = 0
        #: Time and new own count of each change, oldest first.
        self._history: collections.deque[tuple[int, int]] = collections.deque()
        self._others = 0.0
        self._report_received_ms = -1

    def change(self, difference: int, now_ms: int) -> None:
        """Adds `difference` to the requests of this entry in flight."""
        self.own += difference
        self._history.append((now_ms, self.own))
        while self._history[0][0] < now_ms - HISTORY_MS:
            _, self._own_before_history = self._history.popleft()

    def running(self, target: _types.Target) -> float:
        """Returns the estimated requests in flight over all entries."""
        if target.load_received_ms != self._report_received_ms:
            self._apply_report(target)
        return self.own + self._others

    def _apply_report(self, target: _types.Target) -> None:
        self._report_received_ms = target.load_received_ms
        described_ms = target.load_received_ms - target.load.age_ms
        reported = target.load.running + target.load.queued
        self._others = max(0, reported - self._own_at(described_ms))

    def _own_at(self, at_ms: int) -> int:
        """Returns the requests of this entry in flight at an earlier time."""
        for changed_ms, own in reversed(self._history):
            if changed_ms <= at_ms:
                return own
        return self._own_before_history
