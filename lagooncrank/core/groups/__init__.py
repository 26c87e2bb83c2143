"""Forms groups of engines, repairs them and dissolves them."""

from lagooncrank.core.groups._actions import Action
from lagooncrank.core.groups._actions import Form
from lagooncrank.core.groups._actions import Move
from lagooncrank.core.groups._actions import Order
from lagooncrank.core.groups._actions import OrderKind
from lagooncrank.core.groups._actions import Release
from lagooncrank.core.groups._actions import Stage
from lagooncrank.core.groups._life_cycle import GroupTiming
from lagooncrank.core.groups._life_cycle import LifeCycle
from lagooncrank.core.groups._loads import LoadPace
from lagooncrank.core.groups._planning import Planner
from lagooncrank.core.groups._serving import serving_groups
from lagooncrank.core.groups._staging import Staging

__all__ = [
    "Action",
    "Form",
    "GroupTiming",
    "LifeCycle",
    "LoadPace",
    "Move",
    "Order",
    "OrderKind",
    "Planner",
    "Release",
    "Stage",
    "Staging",
    "serving_groups",
]
