"""Crashes that request contents may have caused."""

from collections.abc import Iterable

from lagooncrank import results
from lagooncrank.core.state import _commands
from lagooncrank.core.state import _records

#: Maximum number of records; the one that expires first is evicted.
MAX_CRASH_RECORDS = 10_000

_OK = _records.Outcome(results.ResultCode.OK)


class Quarantine:
    """Holds the unexpired crash records, one for each request content."""

    def __init__(
        self, crash_records: Iterable[_records.ContentCrashRecord] = ()
    ) -> None:
        self.crash_records = {r.digest: r for r in crash_records}

    def record_crash(
        self, command: _commands.RecordContentCrash
    ) -> _records.Outcome:
        """Adds a crashed target to the record of a content."""
        self._evict_expired(command.wall_ms)
        record = self.crash_records.get(command.digest)
        victims = record.victims if record else ()
        if command.victim not in victims:
            victims = (*victims, command.victim)
        lapses_wall_ms = command.lapses_wall_ms
        if record:
            lapses_wall_ms = max(lapses_wall_ms, record.lapses_wall_ms)
        self.crash_records[command.digest] = _records.ContentCrashRecord(
            command.digest, victims, lapses_wall_ms
        )
        return _OK

    def clear(self, command: _commands.ClearContentCrashes) -> _records.Outcome:
        """Removes the record of a content, if there is one."""
        self.crash_records.pop(command.digest, None)
        return _OK

    def _evict_expired(self, wall_ms: int) -> None:
        records = self.crash_records.values()
        expired = [r.digest for r in records if r.lapses_wall_ms <= wall_ms]
        for digest in expired:
            del self.crash_records[digest]
        if len(self.crash_records) >= MAX_CRASH_RECORDS:
            next_expiring = min(
                records, key=lambda r: (r.lapses_wall_ms, r.digest)
            )
            del self.crash_records[next_expiring.digest]
