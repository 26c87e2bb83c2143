"""Validation of a plan, and look-ups of its routes, keys and services."""

from lagooncrank.core.catalog._catalog import Catalog
from lagooncrank.core.catalog._validation import find_problems

__all__ = ["Catalog", "find_problems"]
