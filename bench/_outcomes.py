"""Counts and latencies of the requests of one run."""

import collections
import dataclasses


class Histogram:
    """Histogram of values, rounded down to whole units."""

    def __init__(self) -> None:
        self._counts: collections.Counter[int] = collections.Counter()
        self.total = 0

    def add(self, value: float, count: int = 1) -> None:
        """Adds `count` observations of `value`."""
        self._counts[int(value)] += count
        self.total += count

    def quantile(self, fraction: float) -> int:
        """Returns the smallest value that covers `fraction` of observations."""
        remaining = fraction * self.total
        for value in sorted(self._counts):
            remaining -= self._counts[value]
            if remaining <= 0:
                return value
        return 0

    def fraction_up_to(self, value: int) -> float:
        """Returns the fraction of the observations at or below `value`."""
        counts = (n for v, n in self._counts.items() if v <= value)
        return sum(counts) / self.total if self.total else 1.0


@dataclasses.dataclass(slots=True)
class AccountOutcome:
    """Counts and latencies of one account's requests."""

    offered: int = 0
    completed: int = 0
    completed_tokens: int = 0
    #: Output tokens of completed requests whose first token was in time.
    timely_tokens: int = 0
    #: Refused and failed requests by result code.
    refusals: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    suspensions: int = 0
    retries: int = 0
    #: Requests that had started and failed.
    failed: int = 0
    #: Delays from arrival to the first token.
    first_token_ms: Histogram = dataclasses.field(default_factory=Histogram)
    #: Delays between consecutive tokens.
    token_gap_ms: Histogram = dataclasses.field(default_factory=Histogram)

    def timely_fraction(self, target_ms: int) -> float:
        """Returns the fraction of offered requests with a timely first token.

        Requests without a first token count as late.
        """
        if not self.offered:
            return 1.0
        fraction = self.first_token_ms.fraction_up_to(target_ms)
        return fraction * self.first_token_ms.total / self.offered


@dataclasses.dataclass(slots=True)
class RunOutcome:
    """Counts and latencies of one run, by account."""

    accounts: collections.defaultdict[str, AccountOutcome] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(AccountOutcome)
    )
    #: Time that slots were in use, summed over all slots.
    busy_slot_ms: float = 0.0
    #: Usage reports between entries: their total size and number.
    report_bytes: int = 0
    reports: int = 0

    @property
    def completed_tokens(self) -> int:
        """Number of output tokens of all completed requests."""
        return sum(o.completed_tokens for o in self.accounts.values())
