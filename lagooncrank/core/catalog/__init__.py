"""Validation and look-ups of a serving configuration."""

from lagooncrank.core.catalog._catalog import Catalog
from lagooncrank.core.catalog._validation import find_problems

__all__ = ["Catalog", "find_problems"]
