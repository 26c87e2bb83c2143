"""The replicated log of one node, compacted by snapshots."""

from collections.abc import Sequence

from lagooncrank.core.consensus import _messages


class CommittedEntryError(Exception):
    """A leader tried to replace a committed entry; the log is unchanged."""

    def __init__(self, index: int, commit_index: int) -> None:
        self.index = index
        self.commit_index = commit_index
        super().__init__(
            f"leader would replace entry {index}, but entries up to"
            f" {commit_index} are committed;"
            " stop this node and compare the data folders of the voters"
        )


class Log:
    """Log entries after the last snapshot, and the voter sets they contain."""

    def __init__(self, durable: _messages.DurableState) -> None:
        self.snapshot = durable.snapshot
        self._initial_voters = durable.initial_voters
        self._entries = [
            e for e in durable.entries if e.index > self.snapshot_index
        ]
        self._voter_changes = [e for e in self._entries if e.voters]
        self._unsaved_from: int | None = None

    @property
    def snapshot_index(self) -> int:
        """Index of the last entry covered by the snapshot, or 0."""
        return self.snapshot.last_index if self.snapshot else 0

    @property
    def snapshot_term(self) -> int:
        """Term of the last entry covered by the snapshot, or 0."""
        return self.snapshot.last_term if self.snapshot else 0

    @property
    def last_index(self) -> int:
        """Index of the last entry, or 0."""
        return self.snapshot_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or 0."""
        return self._entries[-1].term if self._entries else self.snapshot_term

    @property
    def voters(self) -> _messages.VoterSet | None:
        """Latest voter set, committed or not; None on an uninitialized disk."""
        return self.voters_at(self.last_index)

    def voters_at(self, index: int) -> _messages.VoterSet | None:
        """Returns the voter set in force after entry `index` is appended."""
        for entry in reversed(self._voter_changes):
            if entry.index <= index:
                return entry.voters
        return self.snapshot.voters if self.snapshot else self._initial_voters

    def last_voter_change_index(self) -> int:
        """Returns the index of the latest voter change in the log, or 0."""
        return self._voter_changes[-1].index if self._voter_changes else 0

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if the log does not hold it."""
        if index == self.snapshot_index:
            return self.snapshot_term
        offset = index - self.snapshot_index - 1
        if 0 <= offset < len(self._entries):
            return self._entries[offset].term
        return None

    def entries_between(
        self, first: int, last: int
    ) -> tuple[_messages.Entry, ...]:
        """Returns the entries held from `first` to `last` inclusive."""
        start = max(first - self.snapshot_index - 1, 0)
        return tuple(self._entries[start : last - self.snapshot_index])

    def batch(self, first: int, max_bytes: int) -> Sequence[_messages.Entry]:
        """Returns entries from `first` on, up to `max_bytes` of data.

        Returns at least one entry, if there is one, whatever its size.
        """
        chosen: list[_messages.Entry] = []
        size = 0
        for entry in self.entries_between(first, self.last_index):
            size += len(entry.data)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return chosen

    def append(self, entry: _messages.Entry) -> None:
        """Appends an entry."""
        self._entries.append(entry)
        if entry.voters:
            self._voter_changes.append(entry)
        if self._unsaved_from is None or entry.index < self._unsaved_from:
            self._unsaved_from = entry.index

    def merge(
        self, entries: Sequence[_messages.Entry], commit_index: int
    ) -> None:
        """Merges a leader's entries, replacing conflicting ones.

        Raises:
            CommittedEntryError: A committed entry conflicts.
        """
        for entry in entries:
            if entry.index <= self.snapshot_index:
                continue
            if self.term_at(entry.index) == entry.term:
                continue
            if entry.index <= commit_index:
                raise CommittedEntryError(entry.index, commit_index)
            self._replace(self.entries_between(1, entry.index - 1))
            self.append(entry)

    def is_candidate_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Whether a log with that last entry is at least as complete."""
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def compact(self, snapshot: _messages.Snapshot) -> None:
        """Discards the entries covered by a snapshot of this node."""
        if snapshot.last_index <= self.snapshot_index:
            return
        retained = self.entries_between(
            snapshot.last_index + 1, self.last_index
        )
        self.snapshot = snapshot
        self._replace(retained)

    def install(self, snapshot: _messages.Snapshot) -> None:
        """Replaces the log with a leader's snapshot.

        Entries after the snapshot are retained if the log matches it.
        """
        matches_log = self.term_at(snapshot.last_index) == snapshot.last_term
        retained = self.entries_between(
            snapshot.last_index + 1, self.last_index
        )
        self.snapshot = snapshot
        self._replace(retained if matches_log else ())
        self._unsaved_from = snapshot.last_index + 1

    def set_initial_voters(self, initial_voters: _messages.VoterSet) -> None:
        """Sets the initial voter set of the system on an uninitialized disk."""
        self._initial_voters = initial_voters

    def take_unsaved(self) -> tuple[_messages.Entry, ...]:
        """Returns the entries not yet handed to storage."""
        if self._unsaved_from is None:
            return ()
        entries = self.entries_between(self._unsaved_from, self.last_index)
        self._unsaved_from = None
        return entries

    def _replace(self, entries: Sequence[_messages.Entry]) -> None:
        self._entries = list(entries)
        self._voter_changes = [e for e in entries if e.voters]
