"""State of backend servers and nodes, as derived from their reports."""

from lagooncrank.core.fleet._challenges import MAX_LATE_REPORTS
from lagooncrank.core.fleet._challenges import ReportVersion
from lagooncrank.core.fleet._departures import Departure
from lagooncrank.core.fleet._departures import Departures
from lagooncrank.core.fleet._departures import MAX_DEPARTURES
from lagooncrank.core.fleet._entry_count import MEMORY_MS
from lagooncrank.core.fleet._entry_count import SETTLING_MS
from lagooncrank.core.fleet._entry_count import SharingEntries
from lagooncrank.core.fleet._entry_list import CachedEntryList
from lagooncrank.core.fleet._nodes import choose_entries
from lagooncrank.core.fleet._nodes import FleetSummary
from lagooncrank.core.fleet._nodes import NodeNotice
from lagooncrank.core.fleet._nodes import NodeNotices
from lagooncrank.core.fleet._nodes import NodeTable
from lagooncrank.core.fleet._nodes import OpenEntry
from lagooncrank.core.fleet._nodes import without_cut_off
from lagooncrank.core.fleet._plausibility import find_problem
from lagooncrank.core.fleet._plausibility import is_in_future
from lagooncrank.core.fleet._plausibility import MAX_START_AHEAD_MS
from lagooncrank.core.fleet._plausibility import ReportProblem
from lagooncrank.core.fleet._report_batches import AgedReport
from lagooncrank.core.fleet._report_batches import Renewal
from lagooncrank.core.fleet._report_batches import ReportBatch
from lagooncrank.core.fleet._report_batches import ReportsWanted
from lagooncrank.core.fleet._servers import ServerRecord
from lagooncrank.core.fleet._servers import ServerTable

__all__ = [
    "MAX_DEPARTURES",
    "MAX_LATE_REPORTS",
    "MAX_START_AHEAD_MS",
    "MEMORY_MS",
    "SETTLING_MS",
    "AgedReport",
    "CachedEntryList",
    "Departure",
    "Departures",
    "FleetSummary",
    "NodeNotice",
    "NodeNotices",
    "NodeTable",
    "OpenEntry",
    "Renewal",
    "ReportBatch",
    "ReportProblem",
    "ReportVersion",
    "ReportsWanted",
    "ServerRecord",
    "ServerTable",
    "SharingEntries",
    "choose_entries",
    "find_problem",
    "is_in_future",
    "without_cut_off",
]
