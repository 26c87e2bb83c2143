"""Timeouts that follow how fast each kind of request is answered."""

from lagooncrank.core.timeouts._adaptive import AdaptiveTimeout
from lagooncrank.core.timeouts._adaptive import AdaptiveTimeouts
from lagooncrank.core.timeouts._adaptive import TimeoutBounds

__all__ = [
    "AdaptiveTimeout",
    "AdaptiveTimeouts",
    "TimeoutBounds",
]
