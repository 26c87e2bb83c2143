"""HTTP connection pools, one for each backend server address."""

from collections.abc import AsyncIterator
import contextlib

import aiohttp
import mode

from lagooncrank import observed_time
from lagooncrank.server import _bounded_http
from lagooncrank.server import _observed_connector

#: Observed time for one connection.
CONNECT_TIMEOUT_MS = 1_000
IDLE_CONNECTION_S = 30.0


class _Pool:
    """Connections to one address and the number of calls that use them."""

    def __init__(self, observed_clock: observed_time.ObservedClock) -> None:
        self.session = open_session(observed_clock, force_close=False)
        self.calls = 0
        self.dropped = False


class ConnectionPools(mode.Service):
    """Reuses connections; those to one address can be dropped together."""

    def __init__(self, observed_clock: observed_time.ObservedClock) -> None:
        super().__init__()
        self._observed_clock = observed_clock
        self._pools: dict[str, _Pool] = {}

    @contextlib.asynccontextmanager
    async def session(
        self, address: str
    ) -> AsyncIterator[aiohttp.ClientSession]:
        """Yields the session whose connections all go to `address`."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = _Pool(self._observed_clock)
        pool.calls += 1
        try:
            yield pool.session
        finally:
            pool.calls -= 1
            if pool.dropped and pool.calls == 0:
                await pool.session.close()

    async def drop(self, address: str) -> None:
        """Stops using the open connections to an unresponsive address.

        The next call opens a new connection. Responses that still arrive over
        the old connections continue; each has its own timeouts.
        """
        pool = self._pools.pop(address, None)
        if pool is None:
            return
        pool.dropped = True
        if pool.calls == 0:
            await pool.session.close()

    async def on_stop(self) -> None:
        """Closes every connection."""
        for pool in self._pools.values():
            await pool.session.close()
        self._pools.clear()


def open_session(
    observed_clock: observed_time.ObservedClock, *, force_close: bool
) -> aiohttp.ClientSession:
    """Returns a client session whose sockets detect dead peers.

    Args:
        observed_clock: Observed time of this process.
        force_close: Whether every call opens its own connection.
    """
    connector = _observed_connector.ObservedConnector(
        observed_clock,
        CONNECT_TIMEOUT_MS,
        limit=0,
        force_close=force_close,
        keepalive_timeout=None if force_close else IDLE_CONNECTION_S,
        happy_eyeballs_delay=None,
    )
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=None)
    return _bounded_http.open_session(connector, timeout)
