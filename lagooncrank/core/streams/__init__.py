"""Progress of one answer over all attempts that produce it."""

from lagooncrank.core.streams._progress import EngineEvent
from lagooncrank.core.streams._progress import Fault
from lagooncrank.core.streams._progress import FaultKind
from lagooncrank.core.streams._progress import Progress

__all__ = [
    "EngineEvent",
    "Fault",
    "FaultKind",
    "Progress",
]
