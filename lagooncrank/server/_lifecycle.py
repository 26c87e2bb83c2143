"""Lifecycle phase of an entry and its requests in flight."""

import asyncio
from collections.abc import Iterator
import contextlib
import enum

from lagooncrank.server import _metrics


class Phase(enum.StrEnum):
    """Lifecycle phase of an entry, by its handling of new requests."""

    SERVING = "serving"
    #: No longer listed by `/v1/entries`; new requests are still served.
    LEAVING = "leaving"
    #: New requests are refused; requests in flight continue.
    DRAINING = "draining"


class Lifecycle:
    """Holds the phase of an entry and counts its requests in flight."""

    def __init__(self, metrics: _metrics.Metrics) -> None:
        self._metrics = metrics
        self._phase = Phase.SERVING
        self._in_flight = 0
        #: Set while no request is in flight.
        self.idle = asyncio.Event()
        self.idle.set()

    @property
    def phase(self) -> Phase:
        """Current phase."""
        return self._phase

    @property
    def in_flight(self) -> int:
        """Number of accepted requests that have not ended."""
        return self._in_flight

    def enter(self, phase: Phase) -> None:
        """Switches to a later phase."""
        self._phase = phase

    @contextlib.contextmanager
    def count_in_flight(self) -> Iterator[None]:
        """Counts a request as in flight within the context."""
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
