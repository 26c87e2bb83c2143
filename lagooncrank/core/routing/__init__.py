"""Choice of replica or backend server."""

from lagooncrank.core.routing._types import AttemptEnd
from lagooncrank.core.routing._types import RouteQuery
from lagooncrank.core.routing._types import Router
from lagooncrank.core.routing._types import Target

__all__ = [
    "AttemptEnd",
    "RouteQuery",
    "Router",
    "Target",
]
