"""Attempts, budgets, deadlines and crashing requests."""

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

__all__ = [
    "Call",
    "CrashMark",
    "Decision",
    "Failure",
    "FailureKind",
    "GiveUp",
    "Retry",
    "RetryPolicy",
    "Suspicion",
    "Verdict",
]
