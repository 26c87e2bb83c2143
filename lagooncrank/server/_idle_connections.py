"""Whether an idle client connection may carry another request."""

import asyncio
import re
import select
from typing import Final

import multidict

#: Time before the end of a server's idle timeout in which no request is sent,
#: as it might arrive after that end.
KEEP_ALIVE_MARGIN_S: Final = 0.25
#: Longer numbers are no timeouts.
_TIMEOUT: Final = re.compile(
    r"\btimeout\s*=\s*\"?([0-9]{1,9})\b", re.IGNORECASE
)


def max_idle_s(headers: "multidict.CIMultiDictProxy[str]") -> float | None:
    """Returns how long a connection may be idle after a response.

    Args:
        headers: Headers of the response; the lowest timeout of several counts.

    Returns:
        The time in seconds; None if the server states no timeout.
    """
    timeouts_s = [
        int(found[1])
        for value in headers.getall("Keep-Alive", ())
        for found in _TIMEOUT.finditer(value)
    ]
    if not timeouts_s:
        return None
    return max(min(timeouts_s) - KEEP_ALIVE_MARGIN_S, 0.0)


def has_unread_input(transport: asyncio.BaseTransport | None) -> bool:
    """Returns whether bytes or an end wait unread on a connection.

    Both arrived before the next request, so that they do not belong to it.
    """
    sock = None if transport is None else transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
