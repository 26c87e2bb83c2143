"""Authenticated message links between nodes."""

from lagooncrank.server.links._handshake import HandshakeError
from lagooncrank.server.links._links import Links
from lagooncrank.server.links._links import LinkTiming

__all__ = ["HandshakeError", "LinkTiming", "Links"]
