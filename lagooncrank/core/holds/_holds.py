"""Processes that an entry sends nothing to for now.

Unlike the backoff after failures, a hold is not given up when no other server
is left, and no success ends it.
"""

import collections
from collections.abc import Iterable
from typing import Final

from lagooncrank.core.holds import _types

#: Longest rest that is believed. It is long enough for any real one, as a
#: server counts what arrives before its end; a new process is free at once.
MAX_REST_MS: Final = 3_600_000
#: Processes that are remembered; the oldest are forgotten beyond it.
MAX_PROCESSES: Final = 4_096


class ServerHolds:
    """Holds of all processes that this entry had responses from."""

    def __init__(self) -> None:
        #: Processes that are leaving, in the order of their statements.
        self._leaving: collections.OrderedDict[_types.Process, None] = (
            collections.OrderedDict()
        )
        #: End of the rest by process, oldest statement first.
        self._resting_until_ms: collections.OrderedDict[_types.Process, int] = (
            collections.OrderedDict()
        )

    def record(
        self,
        process: _types.Process,
        stated: _types.StatedAvailability,
        now_ms: int,
    ) -> bool:
        """Records what a response says about its server.

        Responses may arrive out of order, and each holds for the time that it
        states: a later one never shortens a rest.

        Args:
            process: The process that responded.
            stated: What the response says.
            now_ms: Monotonic time in milliseconds.

        Returns:
            Whether the process is held for longer than before.
        """
        has_left = stated.is_leaving and self._record_leaving(process)
        has_rest = bool(stated.rest_ms) and self._record_rest(
            process, stated.rest_ms or 0, now_ms
        )
        return has_left or has_rest

    def _record_leaving(self, process: _types.Process) -> bool:
        if process in self._leaving:
            return False
        self._leaving[process] = None
        if len(self._leaving) > MAX_PROCESSES:
            self._leaving.popitem(last=False)
        return True

    def _record_rest(
        self, process: _types.Process, rest_ms: int, now_ms: int
    ) -> bool:
        if rest_ms < 0:
            return False
        until_ms = now_ms + min(rest_ms, MAX_REST_MS)
        if until_ms <= self._resting_until_ms.get(process, 0):
            return False
        self._resting_until_ms[process] = until_ms
        self._resting_until_ms.move_to_end(process)
        if len(self._resting_until_ms) > MAX_PROCESSES:
            self._resting_until_ms.popitem(last=False)
        return True

    def is_held(self, process: _types.Process, now_ms: int) -> bool:
        """Returns whether a process takes no new requests now."""
        if process in self._leaving:
            return True
        return self.remaining_ms(process, now_ms) > 0

    def remaining_ms(self, process: _types.Process, now_ms: int) -> int:
        """Returns the rest of a process that is left, or 0."""
        return max(self._resting_until_ms.get(process, 0) - now_ms, 0)

    def first_free_ms(
        self, processes: Iterable[_types.Process], now_ms: int
    ) -> int | None:
        """Returns the time until the first of some processes is free.

        Returns:
            None if no process is given, or all of them are leaving.
        """
        staying = [p for p in processes if p not in self._leaving]
        return min(
            (self.remaining_ms(p, now_ms) for p in staying), default=None
        )
