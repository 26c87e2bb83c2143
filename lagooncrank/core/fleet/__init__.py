"""State of backend servers and nodes, as derived from their reports."""

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
from lagooncrank.core.fleet._servers import AgedReport
from lagooncrank.core.fleet._servers import Renewal
from lagooncrank.core.fleet._servers import ReportBatch
from lagooncrank.core.fleet._servers import ReportsWanted
from lagooncrank.core.fleet._servers import ServerRecord
from lagooncrank.core.fleet._servers import ServerTable

__all__ = [
    "MAX_DEPARTURES",
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
    "ReportsWanted",
    "ServerRecord",
    "ServerTable",
    "SharingEntries",
    "choose_entries",
    "without_cut_off",
]
