"""Schedule of trial runs of accused requests.

A trial run shows whether the cause of the crashes is gone. Each one may cost an
engine, so there are few: one at a time over all entries, at growing intervals.
The entries take turns, so that they need no coordination.
"""

from typing import Final
import zlib

from lagooncrank.core.crashes import _accusations

#: Time from the last crash to the first trial run.
FIRST_TRIAL_MS: Final = 15_000
#: Factor by which each further crash prolongs the interval: with three trial
#: runs in ten minutes, a cause that persists costs few engines.
INTERVAL_FACTOR: Final = 6
MAX_TRIAL_INTERVAL_MS: Final = 600_000
#: Length of an entry's turn.
TURN_MS: Final = 5_000
#: Part of a turn in which a trial run may start; the rest lets its outcome
#: reach the other entries before the next turn.
START_MS: Final = 2_500


def trial_at_ms(accusation: _accusations.Accusation) -> int:
    """Returns when the next trial run of an accusation is due."""
    extra = accusation.crashes - _accusations.MIN_CRASHES
    interval_ms = FIRST_TRIAL_MS
    for _ in range(extra):
        interval_ms = min(interval_ms * INTERVAL_FACTOR, MAX_TRIAL_INTERVAL_MS)
    return accusation.newest_crash_ms + interval_ms


def is_trial_due(
    accusation: _accusations.Accusation,
    now_ms: int,
    position: int,
    entry_count: int,
) -> bool:
    """Returns whether an entry may start a trial run now.

    Args:
        accusation: The accusation.
        now_ms: Monotonic time in milliseconds.
        position: Index of the entry among the open entries.
        entry_count: Number of open entries.
    """
    overdue_ms = now_ms - trial_at_ms(accusation)
    if overdue_ms < 0 or overdue_ms % TURN_MS >= START_MS:
        return False
    name = ",".join(sorted(accusation.features))
    turn = zlib.crc32(name.encode()) + overdue_ms // TURN_MS
    return turn % entry_count == position
