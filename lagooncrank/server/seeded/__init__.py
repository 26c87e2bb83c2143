"""Daemons that find each other through seeds, behind an adapter's wire."""

from lagooncrank.server.seeded._control import Control
from lagooncrank.server.seeded._entry import ADDRESS_TTL_MS
from lagooncrank.server.seeded._entry import Entry
from lagooncrank.server.seeded._running import run_node
from lagooncrank.server.seeded._wire import AnswerHead
from lagooncrank.server.seeded._wire import CallCodec
from lagooncrank.server.seeded._wire import CallHead
from lagooncrank.server.seeded._wire import DocumentCodec
from lagooncrank.server.seeded._wire import EngineClient
from lagooncrank.server.seeded._wire import Headers
from lagooncrank.server.seeded._wire import InvalidDocumentError
from lagooncrank.server.seeded._wire import MalformedCallError
from lagooncrank.server.seeded._wire import OrderOutcome
from lagooncrank.server.seeded._wire import SendMarks

__all__ = [
    "ADDRESS_TTL_MS",
    "AnswerHead",
    "CallCodec",
    "CallHead",
    "Control",
    "DocumentCodec",
    "EngineClient",
    "Entry",
    "Headers",
    "InvalidDocumentError",
    "MalformedCallError",
    "OrderOutcome",
    "SendMarks",
    "run_node",
]
