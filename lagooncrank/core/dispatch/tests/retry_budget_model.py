"""Model of entries that share a retry budget, without I/O.

Every entry retries as often as its budget allows, at each step. Entries stop
and start again, and the fleet summaries that they receive are late or miss
entries.
"""

import bisect
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import random

from lagooncrank import model
from lagooncrank.core import dispatch
from lagooncrank.core import fleet

SERVICE = model.ServiceName("desk")
STEP_MS = 50
WINDOW_MS = 10_000
RATIO = 0.2
REQUESTS_PER_S = 8
#: Time from an entry's start to its first summary and request.
START_MS = 500
SUMMARY_INTERVAL_MS = 350
#: Time for which an entry serves although it is no longer open.
STOPPING_MS = 7_400
MAX_STEP_RETRIES = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Restart:
    """End of some entries' processes; each starts again at once."""

    at_ms: int
    entries: tuple[int, ...]
    #: Whether they are asked to stop, and serve on without being open.
    is_planned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """What happens to the entries."""

    entry_count: int
    extra: float
    restarts: tuple[Restart, ...] = ()
    #: Spans in which summaries miss this many of the entries.
    incomplete: tuple[tuple[int, int, int], ...] = ()
    #: When the control nodes lose their memory: it comes from their disks.
    control_restarts_ms: tuple[int, ...] = ()
    duration_ms: int = 45_000


class _Entry:
    """One process of an entry."""

    def __init__(
        self, rules: model.RetryBudgetRules, now_ms: int, *, is_first: bool
    ) -> None:
        self.budget = dispatch.SharedRetryBudget(
            rules, now_ms, is_first_start=is_first
        )
        self.sharing = fleet.SharingEntries()
        self.serves_at_ms = now_ms + (0 if is_first else START_MS)
        #: When it stops, if it has been asked to.
        self.ends_at_ms: int | None = None

    def is_open(self, now_ms: int) -> bool:
        """Returns whether the summaries contain it."""
        return now_ms >= self.serves_at_ms and self.ends_at_ms is None


class Fleet:
    """Plays a scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._random = random.Random(seed)
        self._rules = model.RetryBudgetRules(WINDOW_MS, RATIO, scenario.extra)
        self._entries = [
            _Entry(self._rules, 0, is_first=True)
            for _ in range(scenario.entry_count)
        ]
        self._control = fleet.SharingEntries()
        #: Times of all requests and retries.
        self.requests_ms: list[int] = []
        self.retries_ms: list[int] = []

    def play(self) -> None:
        """Plays the whole scenario."""
        for now_ms in range(0, self._scenario.duration_ms, STEP_MS):
            self._restart(now_ms)
            if now_ms % SUMMARY_INTERVAL_MS == 0:
                self._send_summaries(now_ms)
            if self._random.random() < REQUESTS_PER_S * STEP_MS / 1_000:
                serving = [e for e in self._entries if e.serves_at_ms <= now_ms]
                self.requests_ms.append(now_ms)
                if serving:
                    entry = self._random.choice(serving)
                    entry.budget.record_request(SERVICE, now_ms)
            for entry in self._entries:
                self._retry(entry, now_ms)

    def excess(self) -> float:
        """Returns the most retries beyond the budget in any window."""
        worst = -self._scenario.extra
        for retries, requests in self._windows():
            allowed = RATIO * requests + self._scenario.extra
            worst = max(worst, retries - allowed)
        return worst

    def _windows(self) -> Iterator[tuple[int, int]]:
        for end_ms in range(0, self._scenario.duration_ms, STEP_MS):
            start_ms = end_ms - WINDOW_MS
            requests = max(
                _count(self.requests_ms, start_ms - early_ms, end_ms - early_ms)
                for early_ms in (0, WINDOW_MS // 2, WINDOW_MS)
            )
            yield _count(self.retries_ms, start_ms, end_ms), requests

    def _restart(self, now_ms: int) -> None:
        for number, entry in enumerate(self._entries):
            if entry.ends_at_ms is not None and now_ms >= entry.ends_at_ms:
                self._entries[number] = self._new_entry(now_ms)
        if any(
            now_ms <= at_ms < now_ms + STEP_MS
            for at_ms in self._scenario.control_restarts_ms
        ):
            remembered = self._control.count(now_ms) or 0
            self._control = fleet.SharingEntries()
            self._control.remember(remembered, now_ms)
        for restart in self._scenario.restarts:
            if now_ms <= restart.at_ms < now_ms + STEP_MS:
                for number in restart.entries:
                    if restart.is_planned:
                        ends_at_ms = now_ms + STOPPING_MS
                        self._entries[number].ends_at_ms = ends_at_ms
                    else:
                        self._entries[number] = self._new_entry(now_ms)

    def _new_entry(self, now_ms: int) -> _Entry:
        return _Entry(self._rules, now_ms, is_first=False)

    def _send_summaries(self, now_ms: int) -> None:
        missed = sum(
            count
            for start_ms, end_ms, count in self._scenario.incomplete
            if start_ms <= now_ms < end_ms
        )
        seen = sum(e.is_open(now_ms) for e in self._entries)
        self._control.record(max(seen - missed, 0), now_ms)
        remembered = self._control.count(now_ms) or 0
        for entry in self._entries:
            if entry.serves_at_ms <= now_ms:
                entry.sharing.remember(remembered, now_ms)
                entry.sharing.record(max(seen - missed, 0), now_ms)

    def _retry(self, entry: _Entry, now_ms: int) -> None:
        if now_ms < entry.serves_at_ms:
            return
        entry_count = entry.sharing.count(now_ms)
        for _ in range(MAX_STEP_RETRIES):
            if not entry.budget.try_acquire(SERVICE, entry_count, now_ms):
                return
            self.retries_ms.append(now_ms)


def _count(times_ms: Sequence[int], after_ms: int, until_ms: int) -> int:
    end = bisect.bisect_right(times_ms, until_ms)
    return end - bisect.bisect_right(times_ms, after_ms)
