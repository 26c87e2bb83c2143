"""Control nodes and entries that find each other through seed addresses.

An adapter supplies the HTTP headers, document format and engine API of one
hosting provider through the interfaces that this package defines.
"""

from lagooncrank.server._bounded_http import BoundedConnector
from lagooncrank.server._bounded_http import open_session
from lagooncrank.server._bounded_http import read_body
from lagooncrank.server.seeded._adapter import DocumentCodec
from lagooncrank.server.seeded._adapter import EngineClient
from lagooncrank.server.seeded._adapter import ForwardingMetadata
from lagooncrank.server.seeded._adapter import Headers
from lagooncrank.server.seeded._adapter import HttpCodec
from lagooncrank.server.seeded._adapter import InvalidDocumentError
from lagooncrank.server.seeded._adapter import MalformedRequestError
from lagooncrank.server.seeded._adapter import OrderOutcome
from lagooncrank.server.seeded._adapter import RequestHead
from lagooncrank.server.seeded._adapter import ResponseHead
from lagooncrank.server.seeded._control import ControlNode
from lagooncrank.server.seeded._entry import ADDRESS_TTL_MS
from lagooncrank.server.seeded._entry import EntryNode
from lagooncrank.server.seeded._runner import run_node

__all__ = [
    "ADDRESS_TTL_MS",
    "BoundedConnector",
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
    "open_session",
    "read_body",
    "run_node",
]
