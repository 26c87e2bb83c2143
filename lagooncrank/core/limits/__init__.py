"""Limits that backend servers state, and permits to send to them."""

from lagooncrank.core.limits._client import PASSED_OVER_MS
from lagooncrank.core.limits._client import PermitClient
from lagooncrank.core.limits._client import RESPONSE_TIMEOUT_MS
from lagooncrank.core.limits._issuer import BURST_MS
from lagooncrank.core.limits._issuer import IssuedPermits
from lagooncrank.core.limits._issuer import PermitIssuer
from lagooncrank.core.limits._issuer import PROBE_INTERVAL_MS
from lagooncrank.core.limits._issuing_node import issuing_node
from lagooncrank.core.limits._limit_table import LIMIT_TTL_MS
from lagooncrank.core.limits._limit_table import LimitTable
from lagooncrank.core.limits._limit_table import MAX_PROCESSES
from lagooncrank.core.limits._types import INVALID
from lagooncrank.core.limits._types import LimitKind
from lagooncrank.core.limits._types import LimitReport
from lagooncrank.core.limits._types import LimitReports
from lagooncrank.core.limits._types import MAX_RATE_PER_S
from lagooncrank.core.limits._types import PermitGrant
from lagooncrank.core.limits._types import PermitGrants
from lagooncrank.core.limits._types import PermitRequest
from lagooncrank.core.limits._types import PermitRequests
from lagooncrank.core.limits._types import Process
from lagooncrank.core.limits._types import StatedLimit
from lagooncrank.core.limits._types import UNLIMITED
from lagooncrank.core.limits._wallet import PERMIT_TTL_MS

__all__ = [
    "BURST_MS",
    "INVALID",
    "LIMIT_TTL_MS",
    "MAX_PROCESSES",
    "MAX_RATE_PER_S",
    "PASSED_OVER_MS",
    "PERMIT_TTL_MS",
    "PROBE_INTERVAL_MS",
    "RESPONSE_TIMEOUT_MS",
    "UNLIMITED",
    "IssuedPermits",
    "LimitKind",
    "LimitReport",
    "LimitReports",
    "LimitTable",
    "PermitClient",
    "PermitGrant",
    "PermitGrants",
    "PermitIssuer",
    "PermitRequest",
    "PermitRequests",
    "Process",
    "StatedLimit",
    "issuing_node",
]
