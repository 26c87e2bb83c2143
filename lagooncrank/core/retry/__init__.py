"""Attempts, budgets, deadlines and crashing requests."""

from lagooncrank.core.retry._always import Always
from lagooncrank.core.retry._budget import Budget
from lagooncrank.core.retry._crash_marks import CrashMarks
from lagooncrank.core.retry._crash_marks import MAX_VICTIMS
from lagooncrank.core.retry._policies import RETRY_POLICIES
from lagooncrank.core.retry._policies import RetryConfig
from lagooncrank.core.retry._policies import RetryFactory
from lagooncrank.core.retry._policies import SuspicionFactory
from lagooncrank.core.retry._policies import SUSPICIONS
from lagooncrank.core.retry._types import Call
from lagooncrank.core.retry._types import CrashMark
from lagooncrank.core.retry._types import Decision
from lagooncrank.core.retry._types import Failure
from lagooncrank.core.retry._types import FailureKind
from lagooncrank.core.retry._types import GiveUp
from lagooncrank.core.retry._types import Retry
from lagooncrank.core.retry._types import RetryPolicy
from lagooncrank.core.retry._types import Suspicion
from lagooncrank.core.retry._types import Verdict
from lagooncrank.core.retry._unsuspecting import Unsuspecting

__all__ = [
    "MAX_VICTIMS",
    "RETRY_POLICIES",
    "SUSPICIONS",
    "Always",
    "Budget",
    "Call",
    "CrashMark",
    "CrashMarks",
    "Decision",
    "Failure",
    "FailureKind",
    "GiveUp",
    "Retry",
    "RetryConfig",
    "RetryFactory",
    "RetryPolicy",
    "Suspicion",
    "SuspicionFactory",
    "Unsuspecting",
    "Verdict",
]
