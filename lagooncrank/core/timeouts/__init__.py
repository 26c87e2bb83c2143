"""Timeouts that follow how fast each kind of request is answered."""

from lagooncrank.core.timeouts._adaptive import AdaptiveTimeouts
from lagooncrank.core.timeouts._adaptive import MovingTimeout
from lagooncrank.core.timeouts._adaptive import TimeoutBounds

__all__ = [
    "AdaptiveTimeouts",
    "MovingTimeout",
    "TimeoutBounds",
]
