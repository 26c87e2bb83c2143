"""Planned stops: which requests must end before their connections are cut."""

from lagooncrank.core.drain._stop_plan import MAX_PAUSE_MS
from lagooncrank.core.drain._stop_plan import StopPlan

__all__ = [
    "MAX_PAUSE_MS",
    "StopPlan",
]
