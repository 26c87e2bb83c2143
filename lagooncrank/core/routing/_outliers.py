"""Detection of stragglers and of targets that fail."""

from collections.abc import Iterable
import statistics

#: A target this many times slower than the median is left.
LEAVE_RATIO = 2.0
#: A target that was left is used again below this ratio.
RETURN_RATIO = 1.3
#: Tokens that a verdict on a target needs.
MIN_TOKENS = 64
#: Weight of a token in the mean time between tokens.
GAIN_PER_TOKEN = 0.005
#: First and longest pause before a target is tried again.
MIN_PAUSE_MS = 1_000
MAX_PAUSE_MS = 30_000
#: Pause after a target refused work.
REFUSED_PAUSE_MS = 200
#: At most this part of the targets is left for being slow.
MAX_LEFT_FRACTION = 0.34
#: The median is computed anew this often.
MEDIAN_INTERVAL_MS = 250


class TargetSpeed:
    """Time between tokens of one target, and whether it is avoided."""

    def __init__(self) -> None:
        #: Mean time between tokens, or 0.0 before any were seen.
        self.token_ms = 0.0
        self.slow = False
        #: When a slow target gets a request even if others have room.
        self.probe_due_ms = 0
        #: The target gets nothing before this time.
        self.paused_until_ms = 0
        #: The target refused work and gets none before this time.
        self.full_until_ms = 0
        self._pause_ms = MIN_PAUSE_MS
        self._tokens = 0

    def avoided(self, now_ms: int) -> bool:
        """Returns whether the target is slow or failed lately."""
        return self.slow or self.paused_until_ms > now_ms

    def usable(self, now_ms: int, lent: bool) -> bool:
        """Returns whether work may go to the target now."""
        if self.slow and not lent:
            return False
        return self.usable_from_ms <= now_ms

    @property
    def usable_from_ms(self) -> int:
        """When the pauses of the target end."""
        return max(self.paused_until_ms, self.full_until_ms)

    def add_tokens(self, count: int, duration_ms: int) -> None:
        """Notes that `count` tokens took `duration_ms`."""
        sample_ms = duration_ms / count
        if not self._tokens:
            self.token_ms = sample_ms
        gain = min(1.0, GAIN_PER_TOKEN * count)
        self.token_ms += gain * (sample_ms - self.token_ms)
        self._tokens += count

    def compare(self, median_ms: float, now_ms: int) -> None:
        """Leaves a target that is slow, or takes it into use again."""
        if self._tokens < MIN_TOKENS or median_ms <= 0:
            return
        ratio = self.token_ms / median_ms
        if ratio > LEAVE_RATIO and not self.slow:
            self.slow = True
            self.try_again(now_ms)
        elif self.slow and ratio < RETURN_RATIO:
            self.slow = False
            self._pause_ms = MIN_PAUSE_MS

    def try_again(self, now_ms: int) -> None:
        """Measures a slow target anew and sets the time of the next try."""
        self._tokens = 0
        self.probe_due_ms = now_ms + self._next_pause_ms()

    def pause(self, now_ms: int) -> None:
        """Avoids the target for a while, longer each time."""
        self.paused_until_ms = now_ms + self._next_pause_ms()

    def pause_briefly(self, now_ms: int) -> None:
        """Sends nothing to a target that is full, though it works well."""
        self.full_until_ms = now_ms + REFUSED_PAUSE_MS

    def completed(self) -> None:
        """Notes an answer that arrived whole."""
        if not self.slow:
            self._pause_ms = MIN_PAUSE_MS

    def _next_pause_ms(self) -> int:
        pause_ms = self._pause_ms
        self._pause_ms = min(2 * pause_ms, MAX_PAUSE_MS)
        return pause_ms


class Comparison:
    """Compares the targets of one service with their median."""

    def __init__(self) -> None:
        self._due_ms = 0

    def update(self, speeds: Iterable[TargetSpeed], now_ms: int) -> None:
        """Marks slow targets, when due."""
        if now_ms < self._due_ms:
            return
        self._due_ms = now_ms + MEDIAN_INTERVAL_MS
        measured = [speed for speed in speeds if speed.token_ms > 0]
        if not measured:
            return
        median_ms = statistics.median(speed.token_ms for speed in measured)
        slots = int(MAX_LEFT_FRACTION * len(measured))
        slow = sum(speed.slow for speed in measured)
        for speed in sorted(measured, key=lambda s: s.token_ms, reverse=True):
            if speed.slow or slow < slots:
                speed.compare(median_ms, now_ms)
                slow += speed.slow
