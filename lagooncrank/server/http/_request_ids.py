"""Request ids: those that callers send, and those of the entry itself."""

import itertools
import string

from aiohttp import web

from lagooncrank import model

HEADER = "X-Request-Id"
MAX_LENGTH = 128

_ALLOWED = frozenset(string.ascii_letters + string.digits + "-_.:/+=@")
_REQUEST_KEY = web.RequestKey("caller_request_id", str)


class RequestIds:
    """Generates request ids that are unique across all entries.

    >>> ids = RequestIds(model.NodeId("n1"), incarnation=7)
    >>> ids.next_id()
    'n1-7-1'
    """

    def __init__(self, node_id: model.NodeId, incarnation: int) -> None:
        self._prefix = f"{node_id}-{incarnation}-"
        self._numbers = itertools.count(1)

    def next_id(self) -> model.RequestId:
        """Returns a new request id."""
        return model.RequestId(f"{self._prefix}{next(self._numbers)}")

    def assign(self, request: web.Request) -> str:
        """Assigns the id that the response will carry, and returns it.

        It is the id that the caller sent if that is valid, or a new one.
        """
        caller_id = request.headers.get(HEADER, "")
        is_valid = 0 < len(caller_id) <= MAX_LENGTH and _ALLOWED.issuperset(
            caller_id
        )
        request[_REQUEST_KEY] = caller_id if is_valid else self.next_id()
        return request[_REQUEST_KEY]


def assigned_id(request: web.Request) -> str:
    """Returns the id that the response to `request` carries."""
    return request[_REQUEST_KEY]


async def add_response_header(
    request: web.Request, response: web.StreamResponse
) -> None:
    """Adds the request id to a response that is about to be sent."""
    if _REQUEST_KEY in request:
        response.headers[HEADER] = request[_REQUEST_KEY]
