"""Tally of what happened to the requests of one run."""

import collections
import dataclasses


class Histogram:
    """Counts of values in whole units."""

    def __init__(self) -> None:
        self._counts: collections.Counter[int] = collections.Counter()
        self.total = 0

    def add(self, value: float, count: int = 1) -> None:
        """Adds `count` observations."""
        self._counts[int(value)] += count
        self.total += count

    def quantile(self, fraction: float) -> int:
        """Returns the value that `fraction` of the observations reach."""
        left = fraction * self.total
        for value in sorted(self._counts):
            left -= self._counts[value]
            if left <= 0:
                return value
        return 0

    def part_up_to(self, value: int) -> float:
        """Returns the part of the observations that are `value` or less."""
        counts = (n for v, n in self._counts.items() if v <= value)
        return sum(counts) / self.total if self.total else 1.0


@dataclasses.dataclass(slots=True)
class AccountOutcome:
    """Tally of one account."""

    offered: int = 0
    completed: int = 0
    completed_tokens: int = 0
    #: Tokens of completed requests whose first token was in time.
    timely_tokens: int = 0
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    suspended: int = 0
    retried: int = 0
    lost: int = 0
    first_token_ms: Histogram = dataclasses.field(default_factory=Histogram)
    gap_ms: Histogram = dataclasses.field(default_factory=Histogram)

    def in_time(self, target_ms: int) -> float:
        """Returns the part of offered requests with a timely first token.

        Refused and lost requests count as late.
        """
        if not self.offered:
            return 1.0
        timely = self.first_token_ms.part_up_to(target_ms)
        return timely * self.first_token_ms.total / self.offered


@dataclasses.dataclass(slots=True)
class RunOutcome:
    """Tally of one run."""

    accounts: collections.defaultdict[str, AccountOutcome] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(AccountOutcome)
    )
    #: Part of the slots of living replicas in use, by step time.
    busy_slot_ms: float = 0.0
    report_bytes: int = 0
    reports: int = 0

    @property
    def completed_tokens(self) -> int:
        """Output tokens of all completed requests."""
        return sum(o.completed_tokens for o in self.accounts.values())
