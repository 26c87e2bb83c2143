"""Estimation of how long a message from a peer was delayed."""

#: Length of one window of observations, in milliseconds.
WINDOW_MS = 60_000


class DelayEstimator:
    """Estimates message delays without synchronized clocks.

    The difference between the arrival time on the receiver's clock and the
    sending time on the sender's clock is smallest for the fastest message. The
    delay of a message is its difference less that minimum. The minimum is
    taken over the last one to two windows, so that clock drift does not add
    up.

    >>> estimator = DelayEstimator()
    >>> estimator.delay_ms(sent_ms=0, received_ms=1_000)
    0
    >>> estimator.delay_ms(sent_ms=10, received_ms=1_510)
    500
    """

    def __init__(self) -> None:
        self._window_start_ms: int | None = None
        self._current_min_ms = 0
        self._previous_min_ms = 0

    def delay_ms(self, sent_ms: int, received_ms: int) -> int:
        """Returns the delay of a message relative to the fastest one.

        Args:
            sent_ms: Sending time on the sender's monotonic clock.
            received_ms: Arrival time on the receiver's monotonic clock.
        """
        difference_ms = received_ms - sent_ms
        self._observe(difference_ms, received_ms)
        fastest_ms = min(self._current_min_ms, self._previous_min_ms)
        return difference_ms - fastest_ms

    def _observe(self, difference_ms: int, received_ms: int) -> None:
        start_ms = self._window_start_ms
        if start_ms is None:
            self._previous_min_ms = difference_ms
            self._start_window(difference_ms, received_ms)
        elif received_ms - start_ms >= WINDOW_MS:
            self._previous_min_ms = self._current_min_ms
            self._start_window(difference_ms, received_ms)
        self._current_min_ms = min(self._current_min_ms, difference_ms)

    def _start_window(self, difference_ms: int, received_ms: int) -> None:
        self._window_start_ms = received_ms
        self._current_min_ms = difference_ms
