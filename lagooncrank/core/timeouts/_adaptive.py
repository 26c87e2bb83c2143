"""Adaptive timeouts for the first byte of a response and between its bytes.

Each timeout is computed from the mean and the mean deviation of recent
durations, as in TCP's retransmission timer, and from the longest recent
duration. The longest one is needed because an engine that processes a long
prompt pauses all its other streams; this is too rare to affect the mean and
the deviation.
"""

import dataclasses

#: Gains and multiple of the deviation of TCP's retransmission timer.
MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATION_FACTOR = 4.0
#: Decay of the longest recent duration with each further measurement.
PEAK_DECAY = 0.999
#: The timeout is at least this multiple of the longest recent duration.
PEAK_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class TimeoutBounds:
    """Bounds of an adaptive timeout."""

    #: Timeout before the first measurement.
    initial_ms: int
    floor_ms: int
    ceiling_ms: int
    #: The timeout is at least this multiple of the mean duration.
    mean_factor: float = 4.0

    def clamp(self, timeout_ms: float) -> int:
        """Returns the timeout limited to the range from floor to ceiling."""
        bounded = min(max(timeout_ms, self.floor_ms), self.ceiling_ms)
        return int(bounded)


class AdaptiveTimeout:
    """Timeout computed from recently measured durations.

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
        """Time without data after which a response counts as failed."""
        return self._timeout_ms

    def record(self, duration_ms: float) -> None:
        """Adds a measured time to the first byte, or between two bytes."""
        if self._mean_ms < 0:
            self._mean_ms = duration_ms
            self._deviation_ms = duration_ms / 2
        error_ms = duration_ms - self._mean_ms
        self._mean_ms += MEAN_GAIN * error_ms
        deviation_error_ms = abs(error_ms) - self._deviation_ms
        self._deviation_ms += DEVIATION_GAIN * deviation_error_ms
        by_deviation_ms = self._mean_ms + DEVIATION_FACTOR * self._deviation_ms
        by_mean_ms = self._mean_ms * self._bounds.mean_factor
        self._peak_ms = max(self._peak_ms * PEAK_DECAY, duration_ms)
        by_peak_ms = self._peak_ms * PEAK_FACTOR
        timeout_ms = max(by_deviation_ms, by_mean_ms, by_peak_ms)
        self._timeout_ms = self._bounds.clamp(timeout_ms)

    def back_off(self) -> None:
        """Doubles the timeout after it expired, up to the ceiling.

        A server that became slower than the timeout would otherwise never
        complete a response, and so never be measured again.
        """
        self._timeout_ms = self._bounds.clamp(self._timeout_ms * 2)


class AdaptiveTimeouts:
    """Adaptive timeouts of each kind of request.

    Requests of one kind have similar response times.
    """

    def __init__(
        self, first_byte: TimeoutBounds, between_bytes: TimeoutBounds
    ) -> None:
        self._first_byte_bounds = first_byte
        self._between_bytes_bounds = between_bytes
        self._first_byte: dict[str, AdaptiveTimeout] = {}
        self._between_bytes: dict[str, AdaptiveTimeout] = {}

    def first_byte(self, kind: str) -> AdaptiveTimeout:
        """Returns the timeout from the request to the first byte."""
        if kind not in self._first_byte:
            self._first_byte[kind] = AdaptiveTimeout(self._first_byte_bounds)
        return self._first_byte[kind]

    def between_bytes(self, kind: str) -> AdaptiveTimeout:
        """Returns the timeout between two bytes of one response."""
        if kind not in self._between_bytes:
            bounds = self._between_bytes_bounds
            self._between_bytes[kind] = AdaptiveTimeout(bounds)
        return self._between_bytes[kind]
