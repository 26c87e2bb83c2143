"""Rollout of declaration revisions to the nodes."""

from lagooncrank.core.revisions._table import LaggingNode
from lagooncrank.core.revisions._table import RevisionReport
from lagooncrank.core.revisions._table import RevisionTable
from lagooncrank.core.revisions._table import RolloutStatus

__all__ = [
    "LaggingNode",
    "RevisionReport",
    "RevisionTable",
    "RolloutStatus",
]
