"""Limit on the retries of one service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetRules:
    """Limit on the retries that all entries send to one service."""

    #: Length of the sliding window in which requests and retries are counted.
    window_ms: int = 10_000
    #: Retries allowed per request in a window.
    ratio: float = 0.2
    #: Retries allowed per window in addition, independent of the requests.
    extra: float = 100.0
