"""Waits for responses that can be made to expire early."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib

from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _silence_limit

_Wait = tuple[_exchange.Exchange, _silence_limit.Expirable]


class ResponseWaits:
    """Current waits by backend server."""

    def __init__(self) -> None:
        self._by_server: dict[str, dict[int, _Wait]] = {}

    @contextlib.contextmanager
    def register(
        self,
        server_id: str,
        exchange: _exchange.Exchange,
        timeout: _silence_limit.Expirable,
    ) -> Iterator[None]:
        """Registers a wait for the duration of the `with` block.

        Args:
            server_id: Backend server whose response is awaited.
            exchange: The request.
            timeout: Is made to expire if the server is silent.
        """
        server_waits = self._by_server.setdefault(server_id, {})
        server_waits[exchange.number] = (exchange, timeout)
        try:
            yield
        finally:
            server_waits.pop(exchange.number, None)
            if not server_waits:
                self._by_server.pop(server_id, None)

    def expire(
        self,
        server_ids: Iterable[str],
        should_expire: Callable[[str, _exchange.Exchange], bool],
    ) -> None:
        """Makes waits at some servers time out now.

        Args:
            server_ids: Stalled servers.
            should_expire: Returns whether a wait at a server should expire.
        """
        now_s = asyncio.get_running_loop().time()
        for server_id in server_ids:
            waits = tuple(self._by_server.get(server_id, {}).values())
            for exchange, timeout in waits:
                # After a pause of this process, many timeouts have expired
                # at once while their tasks have not run yet.
                if not timeout.expired() and should_expire(server_id, exchange):
                    timeout.reschedule(now_s)
