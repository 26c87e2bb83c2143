"""Estimate of a target's load from own counts and lagged reports."""

import collections

from lagooncrank.core.routing import _types

#: Own counts older than this are forgotten; reports lag less.
HISTORY_MS = 10_000


class TargetLoad:
    """Requests in flight at one target.

    A report counts requests of this entry too, as of the time that it
    describes. What this entry itself had in flight at that time is therefore
    taken off the report, and what it has in flight now is added.
    """

    def __init__(self) -> None:
        #: Requests of this entry in flight.
        self.own = 0
        #: Prompt tokens of this entry's requests before their first token.
        self.own_prefill_tokens = 0
        #: Count before the oldest change in the history.
        self._own_before = 0
        self._history: collections.deque[tuple[int, int]] = collections.deque()
        self._others = 0.0
        self._report_ms = -1

    def change(self, difference: int, now_ms: int) -> None:
        """Notes that requests of this entry were added or ended."""
        self.own += difference
        self._history.append((now_ms, self.own))
        while self._history[0][0] < now_ms - HISTORY_MS:
            _, self._own_before = self._history.popleft()

    def running(self, target: _types.Target) -> float:
        """Returns the requests of all entries that the target likely has."""
        if target.load_received_ms != self._report_ms:
            self._take_report(target)
        return self.own + self._others

    def _take_report(self, target: _types.Target) -> None:
        self._report_ms = target.load_received_ms
        described_ms = target.load_received_ms - target.load.age_ms
        reported = target.load.running + target.load.queued
        self._others = max(0, reported - self._own_at(described_ms))

    def _own_at(self, at_ms: int) -> int:
        """Returns the own requests in flight at an earlier time."""
        for changed_ms, own in reversed(self._history):
            if changed_ms <= at_ms:
                return own
        return self._own_before
