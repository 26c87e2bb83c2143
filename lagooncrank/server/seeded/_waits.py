"""Waits for answers that can end before their time."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib

from lagooncrank.server.seeded import _exchange

_Wait = tuple[_exchange.Exchange, asyncio.Timeout]


class Waits:
    """Waits that run now, by server."""

    def __init__(self) -> None:
        self._by_server: dict[str, dict[int, _Wait]] = {}

    @contextlib.contextmanager
    def running(
        self,
        server_id: str,
        exchange: _exchange.Exchange,
        timeout: asyncio.Timeout,
    ) -> Iterator[None]:
        """Counts a wait while the block runs, within its timeout."""
        of_server = self._by_server.setdefault(server_id, {})
        of_server[exchange.number] = (exchange, timeout)
        try:
            yield
        finally:
            of_server.pop(exchange.number, None)
            if not of_server:
                self._by_server.pop(server_id, None)

    def end(
        self,
        server_ids: Iterable[str],
        may_end: Callable[[str, _exchange.Exchange], bool],
    ) -> None:
        """Lets waits at some servers time out now.

        Args:
            server_ids: Servers that stand still.
            may_end: Whether a wait at a server is to end.
        """
        now_s = asyncio.get_running_loop().time()
        for server_id in server_ids:
            waits = tuple(self._by_server.get(server_id, {}).values())
            for exchange, timeout in waits:
                # After a pause of this process many have expired at once and
                # their tasks have not run yet.
                if not timeout.expired() and may_end(server_id, exchange):
                    timeout.reschedule(now_s)
