"""Servers that take no new requests, according to their own responses."""

from lagooncrank.core.holds._holds import MAX_REST_MS
from lagooncrank.core.holds._holds import ServerHolds
from lagooncrank.core.holds._types import NOTHING_STATED
from lagooncrank.core.holds._types import StatedAvailability

__all__ = [
    "MAX_REST_MS",
    "NOTHING_STATED",
    "ServerHolds",
    "StatedAvailability",
]
