"""Which node has which revision of the declarations in force."""

from lagooncrank.core.revisions._table import InForce
from lagooncrank.core.revisions._table import Lag
from lagooncrank.core.revisions._table import RevisionReport
from lagooncrank.core.revisions._table import RevisionTable

__all__ = [
    "InForce",
    "Lag",
    "RevisionReport",
    "RevisionTable",
]
