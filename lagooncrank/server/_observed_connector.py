"""HTTP client connections that are opened within a limit of observed time."""

from typing import Any

from lagooncrank import observed_time
from lagooncrank.server import _bounded_http
from lagooncrank.server import _observed_timer


class ObservedConnector(_bounded_http.BoundedConnector):
    """Connector that gives up a connection after a time that was observed.

    The timeout of the HTTP library ends connections that the kernel has set up
    while this process stood still.
    """

    def __init__(
        self,
        clock: observed_time.ObservedClock,
        connect_timeout_ms: int,
        **options: Any,
    ) -> None:
        """Creates a connector.

        Args:
            clock: Observed time of this process.
            connect_timeout_ms: Time limit for each connection; the library
                reports a connection over it as `ConnectionTimeoutError`.
            **options: Options of `BoundedConnector`.
        """
        super().__init__(**options)
        self._observed_clock = clock
        self._connect_timeout_ms = connect_timeout_ms

    async def _wrap_create_connection(self, *args: Any, **options: Any) -> Any:
        async with _observed_timer.timeout(
            self._observed_clock, self._connect_timeout_ms
        ):
            return await super()._wrap_create_connection(*args, **options)
