"""Request dispatch of an entry: target choice, queueing and retry budget."""

from lagooncrank.core.dispatch._failure_backoff import FailureBackoff
from lagooncrank.core.dispatch._late_arrivals import LateArrivals
from lagooncrank.core.dispatch._loads import has_accurate_loads
from lagooncrank.core.dispatch._loads import InFlightTracker
from lagooncrank.core.dispatch._loads import OVERCOMMIT_FACTOR
from lagooncrank.core.dispatch._loads import SlotBudget
from lagooncrank.core.dispatch._patience import queue_limit_ms
from lagooncrank.core.dispatch._patience import stream_patience_ms
from lagooncrank.core.dispatch._progress import StreamProgress
from lagooncrank.core.dispatch._recent_use import RecentUse
from lagooncrank.core.dispatch._request_queue import Pool
from lagooncrank.core.dispatch._request_queue import QUEUE_DISCIPLINES
from lagooncrank.core.dispatch._request_queue import QueuedRequest
from lagooncrank.core.dispatch._request_queue import RequestQueue
from lagooncrank.core.dispatch._retry_budget import ASSUMED_ENTRIES
from lagooncrank.core.dispatch._retry_budget import SharedRetryBudget
from lagooncrank.core.dispatch._selection import choose_service
from lagooncrank.core.dispatch._selection import choose_target
from lagooncrank.core.dispatch._types import Target

__all__ = [
    "ASSUMED_ENTRIES",
    "OVERCOMMIT_FACTOR",
    "QUEUE_DISCIPLINES",
    "FailureBackoff",
    "InFlightTracker",
    "LateArrivals",
    "Pool",
    "QueuedRequest",
    "RecentUse",
    "RequestQueue",
    "SharedRetryBudget",
    "SlotBudget",
    "StreamProgress",
    "Target",
    "choose_service",
    "choose_target",
    "has_accurate_loads",
    "queue_limit_ms",
    "stream_patience_ms",
]
