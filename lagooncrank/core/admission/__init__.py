"""Admission control: fair shares, queues and load shedding."""

from lagooncrank.core.admission._fair_share import FairShare
from lagooncrank.core.admission._fair_share import LIMITS_INTERVAL_MS
from lagooncrank.core.admission._first_come import FirstComeFirstServed
from lagooncrank.core.admission._merging import merge_reports
from lagooncrank.core.admission._policies import ADMISSION_POLICIES
from lagooncrank.core.admission._policies import AdmissionConfig
from lagooncrank.core.admission._policies import AdmissionFactory
from lagooncrank.core.admission._types import AccountUsage
from lagooncrank.core.admission._types import AdmissionPolicy
from lagooncrank.core.admission._types import Capacity
from lagooncrank.core.admission._types import Effect
from lagooncrank.core.admission._types import Offer
from lagooncrank.core.admission._types import Refuse
from lagooncrank.core.admission._types import ServiceUsage
from lagooncrank.core.admission._types import Start
from lagooncrank.core.admission._types import Suspend
from lagooncrank.core.admission._types import UsageReport

__all__ = [
    "ADMISSION_POLICIES",
    "LIMITS_INTERVAL_MS",
    "AccountUsage",
    "AdmissionConfig",
    "AdmissionFactory",
    "AdmissionPolicy",
    "Capacity",
    "Effect",
    "FairShare",
    "FirstComeFirstServed",
    "Offer",
    "Refuse",
    "ServiceUsage",
    "Start",
    "Suspend",
    "UsageReport",
    "merge_reports",
]
