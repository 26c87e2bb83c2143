"""Routes, keys and services of a plan, checked and ready for look-ups."""

from lagooncrank.core.catalog._catalog import Catalog
from lagooncrank.core.catalog._checks import problems_of

__all__ = ["Catalog", "problems_of"]
