"""Phases of one entry's life, and the requests that it has in flight."""

import asyncio
from collections.abc import Iterator
import contextlib
import enum

from lagooncrank import results
from lagooncrank.server import _metrics


class Phase(enum.StrEnum):
    """What an entry does with new work."""

    SERVING = "serving"
    #: Left the answers of `/v1/entries`; new work is still served.
    LEAVING = "leaving"
    #: New work is refused; requests in flight go on.
    DRAINING = "draining"


class Lifecycle:
    """Knows the phase and counts requests in flight."""

    def __init__(self, metrics: _metrics.Metrics) -> None:
        self._metrics = metrics
        self._phase = Phase.SERVING
        self._in_flight = 0
        #: Set while no request is in flight.
        self.idle = asyncio.Event()
        self.idle.set()

    @property
    def phase(self) -> Phase:
        """The present phase."""
        return self._phase

    @property
    def in_flight(self) -> int:
        """Requests that were taken and have not ended."""
        return self._in_flight

    def enter(self, phase: Phase) -> None:
        """Moves to a later phase."""
        self._phase = phase

    @contextlib.contextmanager
    def request(self) -> Iterator[None]:
        """Counts a request as in flight.

        Raises:
            LagooncrankError: The entry takes no new work.
        """
        if self._phase is Phase.DRAINING:
            raise results.LagooncrankError(
                results.Refusal(
                    results.ResultCode.STOPPING,
                    "this entry is stopping; ask another one",
                    retry_after_ms=0,
                )
            )
        with self.continued():
            yield

    @contextlib.contextmanager
    def continued(self) -> Iterator[None]:
        """Counts work as in flight that outlasts the request it came from."""
        self._in_flight += 1
        self.idle.clear()
        self._metrics.in_flight.inc()
        try:
            yield
        finally:
            self._in_flight -= 1
            self._metrics.in_flight.dec()
            if self._in_flight == 0:
                self.idle.set()
