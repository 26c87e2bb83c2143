"""Processes that an entry sends nothing to for now.

Unlike the backoff after failures, a hold is not given up when no other server
is left, and no success ends it.

A hold applies to each process that may have asked for it. A process that has
started since is free at once.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank.core import responders
from lagooncrank.core.holds import _types

#: Longest rest that is believed. It is long enough for any real one, as a
#: server counts what arrives before its end; a new process is free at once.
MAX_REST_MS: Final = 3_600_000
#: Time for which a server is held that may have said that it is leaving, but
#: was not known yet. If it has, it is gone by then.
UNCERTAIN_LEAVING_MS: Final = 60_000
#: Servers that are remembered; the oldest are forgotten beyond it.
MAX_SERVERS: Final = 4_096
#: Statements of one server that are remembered, likewise.
MAX_HOLDS_OF_SERVER: Final = 32


@dataclasses.dataclass(frozen=True, slots=True)
class _Hold:
    """One statement, or several that were made at about the same time."""

    responder: responders.Responder
    #: End for the process that the request was meant for.
    until_ms: int
    #: End for the other processes that may have made the statement.
    uncertain_until_ms: int

    @classmethod
    def from_statement(
        cls,
        responder: responders.Responder,
        stated: _types.StatedAvailability,
        now_ms: int,
    ) -> "_Hold":
        rest_ms = min(max(stated.rest_ms or 0, 0), MAX_REST_MS)
        if not stated.is_leaving:
            return cls(responder, now_ms + rest_ms, now_ms + rest_ms)
        uncertain_ms = max(rest_ms, UNCERTAIN_LEAVING_MS)
        return cls(responder, clocks.NEVER_MS, now_ms + uncertain_ms)

    def end_ms(self, process: responders.Process) -> int:
        """Returns until when a process is held; 0 if it cannot be meant."""
        if process == self.responder.process:
            return self.until_ms
        is_meant = self.responder.may_be(process)
        return self.uncertain_until_ms if is_meant else 0

    def absorbs(self, earlier: "_Hold") -> bool:
        """Returns whether one hold can stand for this and an earlier one."""
        if earlier.responder.process != self.responder.process:
            return False
        latest_ms = self.responder.latest_start_ms
        if latest_ms < earlier.responder.latest_start_ms:
            return False
        is_longer = (
            self.until_ms >= earlier.until_ms
            and self.uncertain_until_ms >= earlier.uncertain_until_ms
        )
        passed_ms = latest_ms - earlier.responder.latest_start_ms
        return is_longer or passed_ms <= responders.CLOCK_TOLERANCE_MS

    def merged(self, earlier: "_Hold") -> "_Hold":
        """Returns the hold that stands for this and an earlier one."""
        return _Hold(
            self.responder,
            max(self.until_ms, earlier.until_ms),
            max(self.uncertain_until_ms, earlier.uncertain_until_ms),
        )


class ServerHolds:
    """Holds of all servers that this entry had responses from."""

    def __init__(self) -> None:
        #: Statements of each server, in the order of the newest ones.
        self._holds: collections.OrderedDict[
            model.BackendServerId, tuple[_Hold, ...]
        ] = collections.OrderedDict()

    def record(
        self,
        responder: responders.Responder,
        stated: _types.StatedAvailability,
        now_ms: int,
    ) -> bool:
        """Records what a response says about its server.

        Responses may arrive out of order, and each holds for the time that it
        states: a later one never shortens a rest.

        Args:
            responder: The processes that may have responded.
            stated: What the response says.
            now_ms: Monotonic time in milliseconds.

        Returns:
            Whether the process that the request was meant for is held for
            longer than before.
        """
        hold = _Hold.from_statement(responder, stated, now_ms)
        if hold.until_ms <= now_ms:
            return False
        was_held_ms = self.remaining_ms(responder.process, now_ms)
        self._add(hold, now_ms)
        return self.remaining_ms(responder.process, now_ms) > was_held_ms

    def _add(self, hold: _Hold, now_ms: int) -> None:
        server_id = hold.responder.process[0]
        kept = []
        for earlier in self._holds.get(server_id, ()):
            if hold.absorbs(earlier):
                hold = hold.merged(earlier)
            elif earlier.until_ms > now_ms:
                kept.append(earlier)
        self._holds[server_id] = (*kept, hold)[-MAX_HOLDS_OF_SERVER:]
        self._holds.move_to_end(server_id)
        if len(self._holds) > MAX_SERVERS:
            self._holds.popitem(last=False)

    def is_held(self, process: responders.Process, now_ms: int) -> bool:
        """Returns whether a process takes no new requests now."""
        return self.remaining_ms(process, now_ms) > 0

    def remaining_ms(self, process: responders.Process, now_ms: int) -> int:
        """Returns the time for which a process is held, or 0."""
        if process[0] not in self._holds:
            return 0
        return max(max(self._ends_ms(process)) - now_ms, 0)

    def first_free_ms(
        self, processes: Iterable[responders.Process], now_ms: int
    ) -> int | None:
        """Returns the time until the first of some processes is free.

        Returns:
            None if no process is given, or all of them are leaving.
        """
        return min(
            (
                self.remaining_ms(process, now_ms)
                for process in processes
                if clocks.NEVER_MS not in self._ends_ms(process)
            ),
            default=None,
        )

    def _ends_ms(self, process: responders.Process) -> Iterator[int]:
        """Yields the ends of a server's holds for one of its processes."""
        for hold in self._holds.get(process[0], ()):
            yield hold.end_ms(process)
