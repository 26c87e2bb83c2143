"""Replica formation, repair, load order and fencing."""

from lagooncrank.core.placement import _first_fit as _first_fit
from lagooncrank.core.placement import _weighted as _weighted
from lagooncrank.core.placement._fencing import FencingRules
from lagooncrank.core.placement._planner import Planner
from lagooncrank.core.placement._policy import POLICIES
from lagooncrank.core.placement._policy import Policy
from lagooncrank.core.placement._types import Decision
from lagooncrank.core.placement._types import Order
from lagooncrank.core.placement._types import OrderAnswer
from lagooncrank.core.placement._types import OrderKind
from lagooncrank.core.placement._types import OrderState
from lagooncrank.core.placement._types import SendOrder
from lagooncrank.core.placement._types import Situation

__all__ = [
    "POLICIES",
    "Decision",
    "FencingRules",
    "Order",
    "OrderAnswer",
    "OrderKind",
    "OrderState",
    "Planner",
    "Policy",
    "SendOrder",
    "Situation",
]
