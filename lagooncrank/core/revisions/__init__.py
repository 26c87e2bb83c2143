"""Which node has which revision of the declarations in force."""

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
