"""Request ids: the caller's, which is echoed, and the entry's own."""

import itertools
import string

from aiohttp import web

from lagooncrank import model

HEADER = "X-Request-Id"
MAX_LENGTH = 128

_ALLOWED = frozenset(string.ascii_letters + string.digits + "-_.:/+=@")
_KEY = web.RequestKey("caller_request_id", str)


class RequestIds:
    """Gives every request an id that is unique over all entries.

    >>> ids = RequestIds(model.NodeId("n1"), incarnation=7)
    >>> ids.next_id()
    'n1-7-1'
    """

    def __init__(self, node_id: model.NodeId, incarnation: int) -> None:
        self._prefix = f"{node_id}-{incarnation}-"
        self._numbers = itertools.count(1)

    def next_id(self) -> model.RequestId:
        """Returns a new id."""
        return model.RequestId(f"{self._prefix}{next(self._numbers)}")

    def assign(self, request: web.Request) -> str:
        """Settles which id the answer carries back, and returns it."""
        given = request.headers.get(HEADER, "")
        usable = 0 < len(given) <= MAX_LENGTH and _ALLOWED.issuperset(given)
        request[_KEY] = given if usable else self.next_id()
        return request[_KEY]


def of(request: web.Request) -> str:
    """Returns the id that the answer to `request` carries back."""
    return request[_KEY]


async def put_on_answer(
    request: web.Request, response: web.StreamResponse
) -> None:
    """Puts the request id on an answer that is about to be sent."""
    if _KEY in request:
        response.headers[HEADER] = request[_KEY]
