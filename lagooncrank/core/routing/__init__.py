"""Routing: choice of the replica or backend server for each attempt."""

from lagooncrank.core.routing._least_cost import LeastCostRouter
from lagooncrank.core.routing._policies import RouterConfig
from lagooncrank.core.routing._policies import RouterFactory
from lagooncrank.core.routing._policies import ROUTERS
from lagooncrank.core.routing._prefix_digests import prefix_digests
from lagooncrank.core.routing._round_robin import RoundRobinRouter
from lagooncrank.core.routing._targets import has_all_members_ready
from lagooncrank.core.routing._targets import index_members
from lagooncrank.core.routing._targets import plain_targets
from lagooncrank.core.routing._targets import replica_targets
from lagooncrank.core.routing._types import AttemptOutcome
from lagooncrank.core.routing._types import RouteQuery
from lagooncrank.core.routing._types import Router
from lagooncrank.core.routing._types import Target

__all__ = [
    "ROUTERS",
    "AttemptOutcome",
    "LeastCostRouter",
    "RoundRobinRouter",
    "RouteQuery",
    "Router",
    "RouterConfig",
    "RouterFactory",
    "Target",
    "has_all_members_ready",
    "index_members",
    "plain_targets",
    "prefix_digests",
    "replica_targets",
]
