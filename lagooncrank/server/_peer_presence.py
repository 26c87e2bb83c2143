"""Whether the peer of a connection has closed it, by the kernel's word.

The event loop reads the end of a connection a step after the bytes before it,
or much later if the process had no processor time. The kernel knows it at once.
"""

import asyncio
import select
from typing import Final

#: Also reports an end that stands behind bytes not read yet.
_ENDS: Final = (
    select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
)


def has_left(transport: asyncio.BaseTransport | None) -> bool:
    """Returns whether the peer has closed or reset a connection.

    A peer that closed only its sending side counts as gone: asyncio closes such
    a connection as soon as it reads the end.

    Args:
        transport: The connection; None if it is closed already.
    """
    if transport is None or transport.is_closing():
        return True
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return any(events & _ENDS for _, events in poll.poll(0))
