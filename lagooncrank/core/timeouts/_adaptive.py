"""Two moving timeouts per kind of request.

One covers the time from a request to the first byte of its answer, the other
the time between two bytes. Each follows the mean and the mean deviation of
recent answers, as TCP's retransmission timer does, and the longest recent
one: an engine that computes a long prompt pauses every other stream, which is
rare and so hardly moves mean and deviation.
"""

import dataclasses

MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATIONS = 4.0
#: Part of the longest duration that each further measurement leaves.
PEAK_DECAY = 0.999
#: Times the longest recent duration that must pass in silence at least.
PEAK_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class TimeoutBounds:
    """Limits that a moving timeout never leaves."""

    #: Used until the first answer was measured.
    initial_ms: int
    floor_ms: int
    ceiling_ms: int
    #: Times the mean that must pass in silence at least.
    factor: float = 4.0

    def clamp(self, timeout_ms: float) -> int:
        """Returns the timeout moved between floor and ceiling."""
        bounded = min(max(timeout_ms, self.floor_ms), self.ceiling_ms)
        return int(bounded)


class AdaptiveTimeout:
    """Timeout computed from recent measurements.

    >>> timeout = AdaptiveTimeout(TimeoutBounds(5_000, 100, 20_000))
    >>> timeout.timeout_ms
    5000
    >>> for _ in range(50):
    ...     timeout.record(40)
    >>> timeout.timeout_ms
    160
    """

    def __init__(self, bounds: TimeoutBounds) -> None:
        self._bounds = bounds
        self._mean_ms = -1.0
        self._deviation_ms = 0.0
        self._peak_ms = 0.0
        self._timeout_ms = bounds.initial_ms

    @property
    def timeout_ms(self) -> int:
        """Silence that counts as a failure, in milliseconds."""
        return self._timeout_ms

    def record(self, duration_ms: float) -> None:
        """Takes the duration of one answer, or of one pause within it."""
        if self._mean_ms < 0:
            self._mean_ms = duration_ms
            self._deviation_ms = duration_ms / 2
        error = duration_ms - self._mean_ms
        self._mean_ms += MEAN_GAIN * error
        spread = abs(error) - self._deviation_ms
        self._deviation_ms += DEVIATION_GAIN * spread
        by_deviation = self._mean_ms + DEVIATIONS * self._deviation_ms
        by_factor = self._mean_ms * self._bounds.factor
        self._peak_ms = max(self._peak_ms * PEAK_DECAY, duration_ms)
        by_peak = self._peak_ms * PEAK_FACTOR
        timeout_ms = max(by_deviation, by_factor, by_peak)
        self._timeout_ms = self._bounds.clamp(timeout_ms)

    def expired(self) -> None:
        """Doubles the timeout after it expired, up to the ceiling.

        A server that became slower would otherwise never be measured again.
        """
        self._timeout_ms = self._bounds.clamp(self._timeout_ms * 2)


class AdaptiveTimeouts:
    """Moving timeouts by kind of request, such as a service's name."""

    def __init__(
        self, first_byte: TimeoutBounds, between_bytes: TimeoutBounds
    ) -> None:
        self._first_byte_bounds = first_byte
        self._between_bytes_bounds = between_bytes
        self._first_byte: dict[str, AdaptiveTimeout] = {}
        self._between_bytes: dict[str, AdaptiveTimeout] = {}

    def first_byte(self, kind: str) -> AdaptiveTimeout:
        """Returns the timeout from request to first byte."""
        if kind not in self._first_byte:
            self._first_byte[kind] = AdaptiveTimeout(self._first_byte_bounds)
        return self._first_byte[kind]

    def between_bytes(self, kind: str) -> AdaptiveTimeout:
        """Returns the timeout between two bytes of one answer."""
        if kind not in self._between_bytes:
            bounds = self._between_bytes_bounds
            self._between_bytes[kind] = AdaptiveTimeout(bounds)
        return self._between_bytes[kind]
