"""Limit on repeated sends to one service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetRules:
    """Limit on repeated sends of all entries to one service."""

    window_ms: int = 10_000
    #: Repeats allowed per request in a window.
    ratio: float = 0.2
    #: Repeats allowed beside those.
    extra: float = 100.0
