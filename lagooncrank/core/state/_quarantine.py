"""Crash marks on request contents."""

from collections.abc import Iterable

from lagooncrank import results
from lagooncrank.core.state import _commands
from lagooncrank.core.state import _records

#: Marked contents kept; the one that lapses first gives way.
MAX_MARKS = 10_000

_OK = _records.Outcome(results.ResultCode.OK)


class Quarantine:
    """Counts distinct victims of each content until its mark lapses."""

    def __init__(
        self, marks: Iterable[_records.ContentCrashRecord] = ()
    ) -> None:
        self.marks = {mark.digest: mark for mark in marks}

    def mark(self, command: _commands.RecordContentCrash) -> _records.Outcome:
        """Adds a victim to a content's mark."""
        self._forget_lapsed(command.wall_ms)
        earlier = self.marks.get(command.digest)
        victims = earlier.victims if earlier else ()
        if command.victim not in victims:
            victims = (*victims, command.victim)
        lapses_wall_ms = command.lapses_wall_ms
        if earlier:
            lapses_wall_ms = max(lapses_wall_ms, earlier.lapses_wall_ms)
        self.marks[command.digest] = _records.ContentCrashRecord(
            command.digest, victims, lapses_wall_ms
        )
        return _OK

    def lift(self, command: _commands.ClearContentCrashes) -> _records.Outcome:
        """Removes a content's mark if there is one."""
        self.marks.pop(command.digest, None)
        return _OK

    def _forget_lapsed(self, wall_ms: int) -> None:
        marks = self.marks.values()
        lapsed = [m.digest for m in marks if m.lapses_wall_ms <= wall_ms]
        for digest in lapsed:
            del self.marks[digest]
        if len(self.marks) >= MAX_MARKS:
            first = min(marks, key=lambda m: (m.lapses_wall_ms, m.digest))
            del self.marks[first.digest]
