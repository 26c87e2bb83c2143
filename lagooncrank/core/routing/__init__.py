"""Choice of replica or backend server."""

from lagooncrank.core.routing._balanced import Balanced
from lagooncrank.core.routing._blocks import prefix_digests
from lagooncrank.core.routing._policies import RouterConfig
from lagooncrank.core.routing._policies import RouterFactory
from lagooncrank.core.routing._policies import ROUTERS
from lagooncrank.core.routing._round_robin import RoundRobin
from lagooncrank.core.routing._targets import index_members
from lagooncrank.core.routing._targets import plain_targets
from lagooncrank.core.routing._targets import replica_targets
from lagooncrank.core.routing._targets import serves_whole
from lagooncrank.core.routing._types import AttemptEnd
from lagooncrank.core.routing._types import RouteQuery
from lagooncrank.core.routing._types import Router
from lagooncrank.core.routing._types import Target

__all__ = [
    "ROUTERS",
    "AttemptEnd",
    "Balanced",
    "RoundRobin",
    "RouteQuery",
    "Router",
    "RouterConfig",
    "RouterFactory",
    "Target",
    "index_members",
    "plain_targets",
    "prefix_digests",
    "replica_targets",
    "serves_whole",
]
