"""Timeouts that adapt to the response times of each kind of request."""

from lagooncrank.core.timeouts._adaptive import AdaptiveTimeout
from lagooncrank.core.timeouts._adaptive import AdaptiveTimeouts
from lagooncrank.core.timeouts._adaptive import TimeoutBounds

__all__ = [
    "AdaptiveTimeout",
    "AdaptiveTimeouts",
    "TimeoutBounds",
]
