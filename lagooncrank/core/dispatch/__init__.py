"""Where an entry sends a request, and what it may send again."""

from lagooncrank.core.dispatch._allowance import RetryAllowance
from lagooncrank.core.dispatch._choice import choose_service
from lagooncrank.core.dispatch._choice import choose_target
from lagooncrank.core.dispatch._line import ORDERS
from lagooncrank.core.dispatch._line import Pool
from lagooncrank.core.dispatch._line import Waiting
from lagooncrank.core.dispatch._line import WaitingLine
from lagooncrank.core.dispatch._loads import knows_loads
from lagooncrank.core.dispatch._loads import LoadBook
from lagooncrank.core.dispatch._loads import PARTS
from lagooncrank.core.dispatch._loads import Room
from lagooncrank.core.dispatch._progress import StreamProgress
from lagooncrank.core.dispatch._suspects import Suspects
from lagooncrank.core.dispatch._types import Target

__all__ = [
    "ORDERS",
    "PARTS",
    "LoadBook",
    "Pool",
    "RetryAllowance",
    "Room",
    "StreamProgress",
    "Suspects",
    "Target",
    "Waiting",
    "WaitingLine",
    "choose_service",
    "choose_target",
    "knows_loads",
]
