"""Prevents the HTTP library from repeating requests by itself."""

import aiohttp


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Client middleware for requests that may have run when they fail.

    The library repeats GET, HEAD, OPTIONS, TRACE, PUT and DELETE once when
    their connection ends without a response, a new connection included.

    Raises:
        aiohttp.ClientConnectionError: The connection ended without a response;
            an error that the library does not repeat after.
        aiohttp.ClientConnectorError: No connection was made.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientConnectionError(repr(error)) from error
