"""Replica formation, repair, load scheduling and fencing."""

from lagooncrank.core.placement import _first_fit as _first_fit
from lagooncrank.core.placement import _weighted as _weighted
from lagooncrank.core.placement._fencing import FencingRules
from lagooncrank.core.placement._planner import Planner
from lagooncrank.core.placement._policy import POLICIES
from lagooncrank.core.placement._policy import Policy
from lagooncrank.core.placement._types import ClusterSnapshot
from lagooncrank.core.placement._types import Decision
from lagooncrank.core.placement._types import Order
from lagooncrank.core.placement._types import OrderKind
from lagooncrank.core.placement._types import OrderResult
from lagooncrank.core.placement._types import OrderState
from lagooncrank.core.placement._types import OutgoingOrder

__all__ = [
    "POLICIES",
    "ClusterSnapshot",
    "Decision",
    "FencingRules",
    "Order",
    "OrderKind",
    "OrderResult",
    "OrderState",
    "OutgoingOrder",
    "Planner",
    "Policy",
]
