"""Accepted revisions of the declarations."""

from collections.abc import Iterable
import hashlib

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.state import _commands
from lagooncrank.core.state import _records

#: Maximum number of revisions kept, including the current one.
MAX_REVISIONS = 200
#: Maximum number of changes recorded of revisions that are no longer kept.
MAX_OLDER_CHANGES = 8_192
#: Length of the digest of the declarations in a change record.
DIGEST_BYTES = 16


class ConfigurationHistory:
    """Accepts revisions in sequence and recognizes resent changes."""

    def __init__(
        self,
        records: Iterable[_records.ConfigurationRecord] = (),
        changes: Iterable[_records.ChangeRecord] = (),
    ) -> None:
        self._records = list(records)
        self._by_change_id = {r.change_id: r for r in self._records}
        self._older_changes = {change.change_id: change for change in changes}

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

    def older_changes(self) -> tuple[_records.ChangeRecord, ...]:
        """Returns the changes that precede the kept revisions, oldest first."""
        return tuple(self._older_changes.values())

    def apply(self, command: _commands.ApplyDeclarations) -> _records.Outcome:
        """Accepts a change that is based on the current revision.

        A resent change returns the revision that it was accepted as.
        """
        record = self._by_change_id.get(command.change_id)
        if record is not None:
            is_same = command.declarations == record.declarations
            return self._resent_outcome(
                command.change_id, record.revision, is_same
            )
        change = self._older_changes.get(command.change_id)
        if change is not None:
            is_same = _digest(command.declarations) == change.digest
            return self._resent_outcome(
                command.change_id, change.revision, is_same
            )
        if command.base_revision != self.revision:
            return _records.Outcome(
                results.ResultCode.REVISION_CONFLICT,
                f"base revision {command.base_revision} is not the current "
                f"revision {self.revision}; base the change on that one",
                revision=self.revision,
            )
        self._accept(command)
        return _records.Outcome(results.ResultCode.OK, revision=self.revision)

    def _resent_outcome(
        self, change_id: str, revision: int, is_same_content: bool
    ) -> _records.Outcome:
        if not is_same_content:
            return _records.Outcome(
                results.ResultCode.CHANGE_ID_REUSED,
                f"change id {change_id!r} was used for revision "
                f"{revision} with different content; use a new id",
                revision=self.revision,
            )
        return _records.Outcome(results.ResultCode.OK, revision=revision)

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
        for dropped in self._records[:-MAX_REVISIONS]:
            del self._by_change_id[dropped.change_id]
            self._retain_change(dropped)
        del self._records[:-MAX_REVISIONS]

    def _retain_change(self, record: _records.ConfigurationRecord) -> None:
        self._older_changes[record.change_id] = _records.ChangeRecord(
            record.change_id, record.revision, _digest(record.declarations)
        )
        if len(self._older_changes) > MAX_OLDER_CHANGES:
            del self._older_changes[next(iter(self._older_changes))]


def _digest(declarations: model.Declarations) -> bytes:
    data = model.to_cbor(declarations)
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
