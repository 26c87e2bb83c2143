"""Routes, keys and services of a plan, checked and ready for look-ups."""

from lagooncrank.core.catalog._catalog import Catalog
from lagooncrank.core.catalog._checks import find_problems

__all__ = ["Catalog", "find_problems"]
