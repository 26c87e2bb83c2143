"""Fair share between client accounts, queues and shedding."""

from lagooncrank.core.admission._types import AccountUsage
from lagooncrank.core.admission._types import Admission
from lagooncrank.core.admission._types import Capacity
from lagooncrank.core.admission._types import Effect
from lagooncrank.core.admission._types import Offer
from lagooncrank.core.admission._types import Refuse
from lagooncrank.core.admission._types import Start
from lagooncrank.core.admission._types import Suspend
from lagooncrank.core.admission._types import UsageReport

__all__ = [
    "AccountUsage",
    "Admission",
    "Capacity",
    "Effect",
    "Offer",
    "Refuse",
    "Start",
    "Suspend",
    "UsageReport",
]
