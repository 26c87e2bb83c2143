"""Phases of one entry's life, and the requests that it has in flight."""

import asyncio
from collections.abc import Iterator
import contextlib
import enum

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
    def count_in_flight(self) -> Iterator[None]:
        """Counts work as in flight until it ends."""
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
