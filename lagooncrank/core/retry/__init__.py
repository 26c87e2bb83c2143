"""Retry policies, and tracking of requests that crash their targets."""

from lagooncrank.core.retry._always import AlwaysRetry
from lagooncrank.core.retry._budget import BudgetedRetry
from lagooncrank.core.retry._crash_tracker import CrashTracker
from lagooncrank.core.retry._crash_tracker import MAX_CRASHED_TARGETS
from lagooncrank.core.retry._no_suspicion import NoSuspicion
from lagooncrank.core.retry._policies import RETRY_POLICIES
from lagooncrank.core.retry._policies import RetryConfig
from lagooncrank.core.retry._policies import RetryFactory
from lagooncrank.core.retry._policies import SUSPICION_POLICIES
from lagooncrank.core.retry._policies import SuspicionFactory
from lagooncrank.core.retry._types import Call
from lagooncrank.core.retry._types import CrashRecord
from lagooncrank.core.retry._types import Decision
from lagooncrank.core.retry._types import Failure
from lagooncrank.core.retry._types import FailureKind
from lagooncrank.core.retry._types import GiveUp
from lagooncrank.core.retry._types import Retry
from lagooncrank.core.retry._types import RetryPolicy
from lagooncrank.core.retry._types import SuspicionPolicy
from lagooncrank.core.retry._types import Verdict

__all__ = [
    "MAX_CRASHED_TARGETS",
    "RETRY_POLICIES",
    "SUSPICION_POLICIES",
    "AlwaysRetry",
    "BudgetedRetry",
    "Call",
    "CrashRecord",
    "CrashTracker",
    "Decision",
    "Failure",
    "FailureKind",
    "GiveUp",
    "NoSuspicion",
    "Retry",
    "RetryConfig",
    "RetryFactory",
    "RetryPolicy",
    "SuspicionFactory",
    "SuspicionPolicy",
    "Verdict",
]
