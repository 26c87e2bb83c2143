"""Detection of stragglers and of targets that failed recently."""

from collections.abc import Iterable
import statistics

#: A target becomes a straggler above this ratio to the median time per token.
STRAGGLER_RATIO = 2.0
#: A straggler is used normally again below this ratio to the median.
RECOVERY_RATIO = 1.3
#: Tokens that must be measured before a target is compared.
MIN_TOKENS = 64
#: Weight of one token in the moving average of the time per token.
GAIN_PER_TOKEN = 0.005
#: First and longest pause before a target is tried again; it doubles.
MIN_PAUSE_MS = 1_000
MAX_PAUSE_MS = 30_000
#: Pause after a target refused a request.
REFUSED_PAUSE_MS = 200
#: Maximum fraction of the targets that are marked as stragglers.
MAX_STRAGGLER_FRACTION = 0.34
#: Interval at which targets are compared with the median.
COMPARISON_INTERVAL_MS = 250


class TargetHealth:
    """Speed and recent failures of one target, and whether to avoid it."""

    def __init__(self) -> None:
        #: Moving average of the time per token; 0.0 before the first sample.
        self.token_ms = 0.0
        #: Whether the target is a straggler.
        self.is_straggler = False
        #: When a straggler receives one request, to be measured again, even if
        #: other targets have free slots.
        self.probe_due_ms = 0
        #: The target failed and receives no requests before this time.
        self.paused_until_ms = 0
        #: The target refused a request and receives none before this time.
        self.full_until_ms = 0
        self._pause_ms = MIN_PAUSE_MS
        self._measured_tokens = 0

    def is_avoided(self, now_ms: int) -> bool:
        """Returns whether the target is a straggler or failed recently."""
        return self.is_straggler or self.paused_until_ms > now_ms

    def is_usable(self, now_ms: int, borrowed: bool) -> bool:
        """Returns whether a request may be sent to the target now.

        Args:
            now_ms: Monotonic time of this entry, in milliseconds.
            borrowed: Whether the request runs on borrowed capacity; a straggler
                receives no others.
        """
        if self.is_straggler and not borrowed:
            return False
        return self.usable_from_ms <= now_ms

    @property
    def usable_from_ms(self) -> int:
        """When the last pause of the target is over."""
        return max(self.paused_until_ms, self.full_until_ms)

    def add_tokens(self, count: int, duration_ms: int) -> None:
        """Adds a sample of `count` tokens that took `duration_ms`."""
        sample_ms = duration_ms / count
        if not self._measured_tokens:
            self.token_ms = sample_ms
        gain = min(1.0, GAIN_PER_TOKEN * count)
        self.token_ms += gain * (sample_ms - self.token_ms)
        self._measured_tokens += count

    def compare(self, median_ms: float, now_ms: int) -> None:
        """Marks the target as a straggler, or removes the mark.

        Args:
            median_ms: Median time per token over the targets of the service.
            now_ms: Monotonic time of this entry, in milliseconds.
        """
        if self._measured_tokens < MIN_TOKENS or median_ms <= 0:
            return
        ratio = self.token_ms / median_ms
        if ratio > STRAGGLER_RATIO and not self.is_straggler:
            self.is_straggler = True
            self.restart_measurement(now_ms)
        elif self.is_straggler and ratio < RECOVERY_RATIO:
            self.is_straggler = False
            self._pause_ms = MIN_PAUSE_MS

    def restart_measurement(self, now_ms: int) -> None:
        """Discards the measured tokens and schedules the next probe."""
        self._measured_tokens = 0
        self.probe_due_ms = now_ms + self._next_pause_ms()

    def pause(self, now_ms: int) -> None:
        """Pauses the target after a failure, with exponential backoff."""
        self.paused_until_ms = now_ms + self._next_pause_ms()

    def pause_briefly(self, now_ms: int) -> None:
        """Pauses a target that refused a request because it was full."""
        self.full_until_ms = now_ms + REFUSED_PAUSE_MS

    def reset_backoff(self) -> None:
        """Resets the backoff after a complete response."""
        if not self.is_straggler:
            self._pause_ms = MIN_PAUSE_MS

    def _next_pause_ms(self) -> int:
        pause_ms = self._pause_ms
        self._pause_ms = min(2 * pause_ms, MAX_PAUSE_MS)
        return pause_ms


class StragglerDetector:
    """Compares the targets of one service with their median."""

    def __init__(self) -> None:
        self._due_ms = 0

    def update(self, healths: Iterable[TargetHealth], now_ms: int) -> None:
        """Marks and unmarks stragglers, if a comparison is due."""
        if now_ms < self._due_ms:
            return
        self._due_ms = now_ms + COMPARISON_INTERVAL_MS
        measured = [health for health in healths if health.token_ms > 0]
        if not measured:
            return
        median_ms = statistics.median(health.token_ms for health in measured)
        max_stragglers = int(MAX_STRAGGLER_FRACTION * len(measured))
        stragglers = sum(health.is_straggler for health in measured)
        for health in sorted(measured, key=lambda h: h.token_ms, reverse=True):
            if health.is_straggler or stragglers < max_stragglers:
                health.compare(median_ms, now_ms)
                stragglers += health.is_straggler
