"""Limits of all processes, as far as a node knows them."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Final

from lagooncrank.core.limits import _types

#: A process about whose limit nothing was heard for this long is removed.
LIMIT_TTL_MS: Final = 600_000
#: Further processes replace those that were heard of the longest time ago.
MAX_PROCESSES: Final = 4_096


@dataclasses.dataclass(slots=True)
class _Known:
    rate_per_s: float | None
    #: When the limit was stated or withdrawn.
    at_ms: int
    #: Whether other nodes know the rate.
    is_sent: bool


class LimitTable:
    """The newest limit of each process; the newest statement counts.

    Times are of this node's clock; nodes exchange ages.
    """

    def __init__(self) -> None:
        self._known: dict[_types.Process, _Known] = {}
        self._limited: dict[_types.Process, float] = {}

    def rate_per_s(self, process: _types.Process) -> float | None:
        """Returns the limit of a process; None if it has none."""
        return self._limited.get(process)

    @property
    def limited(self) -> Mapping[_types.Process, float]:
        """Requests per second of all processes that have a limit."""
        return self._limited

    def record_response(
        self,
        process: _types.Process,
        stated: _types.StatedLimit,
        sent_ms: int,
        head_ms: int,
    ) -> bool:
        """Records what a response says.

        Args:
            process: The process that responded.
            stated: Its limit according to the response.
            sent_ms: When the request was sent.
            head_ms: When the head of the response arrived.

        Returns:
            Whether the limit has changed.
        """
        if stated.kind is _types.LimitKind.INVALID:
            return False
        if stated.kind is _types.LimitKind.RATE:
            return self._put(process, stated.rate_per_s, head_ms)
        # A response whose server may have begun it before the limit was stated
        # does not withdraw it.
        if self.rate_per_s(process) is None:
            return False
        return self._put(process, None, sent_ms)

    def adopt(self, process: _types.Process, started_ms: int) -> bool:
        """Takes over a limit that a process may have stated itself.

        A process that has no report yet states it in responses to requests that
        were meant for the process before it.

        Args:
            process: Process of which nothing is known.
            started_ms: When it started at the earliest, in monotonic time.

        Returns:
            Whether it has a limit now.
        """
        if process in self._known:
            return False
        server_id, _ = process
        stated = [
            self._known[other]
            for other in self._limited
            if other[0] == server_id
        ]
        newest = max(stated, key=lambda known: known.at_ms, default=None)
        if newest is None or newest.at_ms < started_ms:
            return False
        return self._put(process, newest.rate_per_s, newest.at_ms)

    def report(
        self, process: _types.Process, now_ms: int
    ) -> _types.LimitReport:
        """Returns what is known about a process."""
        known = self._known.get(process, _Known(None, now_ms, is_sent=True))
        server_id, born_ms = process
        age_ms = max(now_ms - known.at_ms, 0)
        return _types.LimitReport(server_id, born_ms, known.rate_per_s, age_ms)

    def merge(
        self,
        reports: Iterable[_types.LimitReport],
        now_ms: int,
        *,
        is_relay: bool,
    ) -> list[_types.Process]:
        """Applies reports of another node.

        Args:
            reports: The reports.
            now_ms: Monotonic time in milliseconds.
            is_relay: Whether what is new is to be passed on.

        Returns:
            The processes whose limits have changed.
        """
        changed = []
        for report in reports:
            at_ms = now_ms - report.age_ms
            if self._put(report.process, report.rate_per_s, at_ms):
                changed.append(report.process)
                self._known[report.process].is_sent = not is_relay
        return changed

    def pop_unsent(self, now_ms: int) -> _types.LimitReports:
        """Returns the limits that other nodes do not know yet.

        They count as known to them from now on.
        """
        unsent = [p for p, known in self._known.items() if not known.is_sent]
        for process in unsent:
            self._known[process].is_sent = True
        return self._reports(unsent, now_ms)

    def all_reports(self, now_ms: int) -> _types.LimitReports:
        """Returns all limits, and those that were withdrawn."""
        return self._reports(self._known, now_ms)

    def evict_expired(self, now_ms: int) -> list[_types.Process]:
        """Removes the processes of which nothing was heard for a long time.

        Returns:
            These processes.
        """
        expired = [
            process
            for process, known in self._known.items()
            if now_ms - known.at_ms >= LIMIT_TTL_MS
        ]
        for process in expired:
            self._remove(process)
        return expired

    def _reports(
        self, processes: Iterable[_types.Process], now_ms: int
    ) -> _types.LimitReports:
        return _types.LimitReports(
            tuple(self.report(process, now_ms) for process in processes)
        )

    def _put(
        self, process: _types.Process, rate_per_s: float | None, at_ms: int
    ) -> bool:
        """Stores a limit if it is the newest; returns whether it changed."""
        known = self._known.get(process)
        if known is not None and at_ms <= known.at_ms:
            return False
        if known is not None and known.rate_per_s == rate_per_s:
            known.at_ms = at_ms
            return False
        # Processes are kept in the order of their last change.
        self._remove(process)
        self._known[process] = _Known(rate_per_s, at_ms, is_sent=False)
        if rate_per_s is not None:
            self._limited[process] = rate_per_s
        if len(self._known) > MAX_PROCESSES:
            self._remove(next(iter(self._known)))
        return True

    def _remove(self, process: _types.Process) -> None:
        self._known.pop(process, None)
        self._limited.pop(process, None)
