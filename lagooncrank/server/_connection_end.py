"""Tells an orderly end of a connection from its loss.

A body with neither a length nor chunks ends with its connection. The HTTP
library reports a reset of that connection as a regular end of the body.
"""

import asyncio
from http import HTTPStatus
from typing import Final

import aiohttp
from aiohttp import connector as connectors

#: Statuses of responses that never have a body (RFC 9110, sections 15.3.5 and
#: 15.4.5).
_BODILESS: Final = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


class ClientResponse(aiohttp.ClientResponse):
    """Response that records how its connection ended."""

    #: Done when the connection has ended, with an exception if it was lost.
    #: None if it ended before the response was awaited.
    _connection_closed: asyncio.Future[None] | None = None
    _transport: asyncio.Transport | None = None

    async def start(
        self, connection: connectors.Connection
    ) -> aiohttp.ClientResponse:
        """Waits for the head of the response."""
        self._transport = connection.transport
        if connection.protocol is not None:
            closed = connection.protocol.closed
            if closed is not None:
                # A connection has one such future for all of its responses.
                closed.remove_done_callback(_mark_retrieved)
                closed.add_done_callback(_mark_retrieved)
            self._connection_closed = closed
        return await super().start(connection)

    def abort(self) -> None:
        """Aborts the connection, also if it is in the pool again."""
        self.close()
        if self._transport is not None:
            self._transport.abort()

    @property
    def has_ended_in_order(self) -> bool:
        """Whether the connection has ended without being reset or lost."""
        closed = self._connection_closed
        return (
            closed is not None
            and closed.done()
            and not closed.cancelled()
            and closed.exception() is None
        )


def is_body_complete(
    session: aiohttp.ClientSession, response: aiohttp.ClientResponse
) -> bool:
    """Returns whether a body that has been read to its end is complete.

    Args:
        session: Session of the response, opened with `ClientResponse` as its
            response class. When it closes, it ends all bodies that are being
            read.
        response: The response. A body with a length or chunks is complete, as
            the library reports its early end as an error.
    """
    assert isinstance(response, ClientResponse)
    if not is_close_delimited(response):
        return True
    return response.has_ended_in_order and not session.closed


def is_close_delimited(response: aiohttp.ClientResponse) -> bool:
    """Returns whether only the end of the connection delimits the body."""
    if response.method == "HEAD" or response.status in _BODILESS:
        return False
    if "Content-Length" in response.headers:
        return False
    codings = ",".join(response.headers.getall("Transfer-Encoding", ()))
    return codings.rpartition(",")[2].strip().lower() != "chunked"


def _mark_retrieved(closed: asyncio.Future[None]) -> None:
    """Prevents a log message about an exception that nobody retrieves."""
    if not closed.cancelled():
        closed.exception()
