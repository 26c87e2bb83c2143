"""Daemons that find each other through seeds, behind an adapter's wire."""

from lagooncrank.server.seeded._control import ControlNode
from lagooncrank.server.seeded._entry import ADDRESS_TTL_MS
from lagooncrank.server.seeded._entry import EntryNode
from lagooncrank.server.seeded._running import run_node
from lagooncrank.server.seeded._wire import DocumentCodec
from lagooncrank.server.seeded._wire import EngineClient
from lagooncrank.server.seeded._wire import ForwardingMetadata
from lagooncrank.server.seeded._wire import Headers
from lagooncrank.server.seeded._wire import HttpCodec
from lagooncrank.server.seeded._wire import InvalidDocumentError
from lagooncrank.server.seeded._wire import MalformedRequestError
from lagooncrank.server.seeded._wire import OrderOutcome
from lagooncrank.server.seeded._wire import RequestHead
from lagooncrank.server.seeded._wire import ResponseHead

__all__ = [
    "ADDRESS_TTL_MS",
    "ControlNode",
    "DocumentCodec",
    "EngineClient",
    "EntryNode",
    "ForwardingMetadata",
    "Headers",
    "HttpCodec",
    "InvalidDocumentError",
    "MalformedRequestError",
    "OrderOutcome",
    "RequestHead",
    "ResponseHead",
    "run_node",
]
