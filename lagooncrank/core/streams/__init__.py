"""Progress of one streamed completion over all its attempts."""

from lagooncrank.core.streams._progress import CompletionProgress
from lagooncrank.core.streams._progress import EngineEvent
from lagooncrank.core.streams._progress import EventRejection
from lagooncrank.core.streams._progress import RejectionKind

__all__ = [
    "CompletionProgress",
    "EngineEvent",
    "EventRejection",
    "RejectionKind",
]
