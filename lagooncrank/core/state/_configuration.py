"""Revisions of the declarations."""

from collections.abc import Iterable

from lagooncrank import results
from lagooncrank.core.state import _commands
from lagooncrank.core.state import _records

#: Accepted revisions kept, the current one included.
KEPT_REVISIONS = 200


class Configurations:
    """Accepts revisions one after another and remembers change ids."""

    def __init__(
        self, records: Iterable[_records.ConfigurationRecord] = ()
    ) -> None:
        self._records = list(records)
        self._by_change_id = {r.change_id: r for r in self._records}

    @property
    def current(self) -> _records.ConfigurationRecord | None:
        """The revision in force, or None before the first."""
        return self._records[-1] if self._records else None

    @property
    def revision(self) -> int:
        """Number of the revision in force; 0 before the first."""
        return self._records[-1].revision if self._records else 0

    def history(self) -> tuple[_records.ConfigurationRecord, ...]:
        """Returns the kept revisions, oldest first."""
        return tuple(self._records)

    def apply(self, command: _commands.ApplyDeclarations) -> _records.Outcome:
        """Accepts a change made to the current revision, refuses others."""
        earlier = self._by_change_id.get(command.change_id)
        if earlier is not None:
            return self._repeat(command, earlier)
        if command.base_revision != self.revision:
            return _records.Outcome(
                results.ResultCode.REVISION_CONFLICT,
                f"base revision {command.base_revision} is not the current "
                f"revision {self.revision}; make the change to that one",
                revision=self.revision,
            )
        self._accept(command)
        return _records.Outcome(results.ResultCode.OK, revision=self.revision)

    def _repeat(
        self,
        command: _commands.ApplyDeclarations,
        earlier: _records.ConfigurationRecord,
    ) -> _records.Outcome:
        if command.declarations != earlier.declarations:
            return _records.Outcome(
                results.ResultCode.CHANGE_ID_REUSED,
                f"change id {command.change_id!r} was used for revision "
                f"{earlier.revision} with other content; use a new id",
                revision=self.revision,
            )
        return _records.Outcome(
            results.ResultCode.OK, revision=earlier.revision
        )

    def _accept(self, command: _commands.ApplyDeclarations) -> None:
        record = _records.ConfigurationRecord(
            revision=self.revision + 1,
            change_id=command.change_id,
            author=command.author,
            wall_ms=command.wall_ms,
            declarations=command.declarations,
        )
        self._records.append(record)
        self._by_change_id[record.change_id] = record
        for forgotten in self._records[:-KEPT_REVISIONS]:
            del self._by_change_id[forgotten.change_id]
        del self._records[:-KEPT_REVISIONS]
