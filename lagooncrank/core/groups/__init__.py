"""Forms groups of engines, repairs them and dissolves them."""

from lagooncrank.core.groups._actions import Action
from lagooncrank.core.groups._actions import MemberRelease
from lagooncrank.core.groups._actions import Order
from lagooncrank.core.groups._actions import OrderKind
from lagooncrank.core.groups._actions import PhaseChange
from lagooncrank.core.groups._actions import PlannedGroup
from lagooncrank.core.groups._actions import StageOrder
from lagooncrank.core.groups._fencing import FencingToken
from lagooncrank.core.groups._lifecycle import GroupLifecycle
from lagooncrank.core.groups._lifecycle import GroupTiming
from lagooncrank.core.groups._load_rate import LoadRateLimiter
from lagooncrank.core.groups._planning import Planner
from lagooncrank.core.groups._profiles import group_size
from lagooncrank.core.groups._profiles import obsolete_changes
from lagooncrank.core.groups._serving import serving_groups
from lagooncrank.core.groups._staging import StagingPlanner

__all__ = [
    "Action",
    "FencingToken",
    "GroupLifecycle",
    "GroupTiming",
    "LoadRateLimiter",
    "MemberRelease",
    "Order",
    "OrderKind",
    "PhaseChange",
    "PlannedGroup",
    "Planner",
    "StageOrder",
    "StagingPlanner",
    "group_size",
    "obsolete_changes",
    "serving_groups",
]
