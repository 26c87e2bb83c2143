"""The replicated log of one node, compacted by snapshots."""

from collections.abc import Sequence

from lagooncrank.core.consensus import _messages


class CommittedEntryError(Exception):
    """A leader asked to replace a committed entry; the log is not touched."""

    def __init__(self, index: int, commit_index: int) -> None:
        self.index = index
        self.commit_index = commit_index
        super().__init__(
            f"entry {index} would be replaced but {commit_index} is committed;"
            " stop this node and compare the data folders of the voters"
        )


class Log:
    """Entries after a snapshot, with the voter sets among them."""

    def __init__(self, durable: _messages.DurableState) -> None:
        self.snapshot = durable.snapshot
        self._genesis = durable.initial_voters
        self._entries = [
            e for e in durable.entries if e.index > self.snapshot_index
        ]
        self._changes = [e for e in self._entries if e.voters]
        self._unsaved_from: int | None = None

    @property
    def snapshot_index(self) -> int:
        """Index of the last entry that the snapshot stands for."""
        return self.snapshot.last_index if self.snapshot else 0

    @property
    def snapshot_term(self) -> int:
        """Term of the last entry that the snapshot stands for."""
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
        """The latest voter set, committed or not; None on a blank disk."""
        return self.voters_at(self.last_index)

    def voters_at(self, index: int) -> _messages.VoterSet | None:
        """Returns the voter set in force once `index` is in the log."""
        for entry in reversed(self._changes):
            if entry.index <= index:
                return entry.voters
        return self.snapshot.voters if self.snapshot else self._genesis

    def last_voters_index(self) -> int:
        """Returns the index of the latest voter change kept, or 0."""
        return self._changes[-1].index if self._changes else 0

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None where it is not kept."""
        if index == self.snapshot_index:
            return self.snapshot_term
        offset = index - self.snapshot_index - 1
        if 0 <= offset < len(self._entries):
            return self._entries[offset].term
        return None

    def between(self, first: int, last: int) -> tuple[_messages.Entry, ...]:
        """Returns the kept entries from `first` to `last` inclusive."""
        start = max(first - self.snapshot_index - 1, 0)
        return tuple(self._entries[start : last - self.snapshot_index])

    def batch(self, first: int, max_bytes: int) -> Sequence[_messages.Entry]:
        """Returns entries from `first` on, at least one if there is one."""
        chosen: list[_messages.Entry] = []
        size = 0
        for entry in self.between(first, self.last_index):
            size += len(entry.data)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return chosen

    def append(self, entry: _messages.Entry) -> None:
        """Adds an entry at the end."""
        self._entries.append(entry)
        if entry.voters:
            self._changes.append(entry)
        if self._unsaved_from is None or entry.index < self._unsaved_from:
            self._unsaved_from = entry.index

    def merge(
        self, entries: Sequence[_messages.Entry], commit_index: int
    ) -> None:
        """Takes a leader's entries, replacing any that differ.

        Raises:
            CommittedEntryError: A committed entry differs.
        """
        for entry in entries:
            if entry.index <= self.snapshot_index:
                continue
            if self.term_at(entry.index) == entry.term:
                continue
            if entry.index <= commit_index:
                raise CommittedEntryError(entry.index, commit_index)
            self._replace(self.between(1, entry.index - 1))
            self.append(entry)

    def is_behind(self, last_index: int, last_term: int) -> bool:
        """Whether a log that ends as told holds all that this one may."""
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def compact(self, snapshot: _messages.Snapshot) -> None:
        """Drops the entries that a snapshot of this node stands for."""
        if snapshot.last_index <= self.snapshot_index:
            return
        kept = self.between(snapshot.last_index + 1, self.last_index)
        self.snapshot = snapshot
        self._replace(kept)

    def install(self, snapshot: _messages.Snapshot) -> None:
        """Replaces the log by a leader's snapshot.

        Entries after it are kept when the log agrees with the snapshot.
        """
        agrees = self.term_at(snapshot.last_index) == snapshot.last_term
        kept = self.between(snapshot.last_index + 1, self.last_index)
        self.snapshot = snapshot
        self._replace(kept if agrees else ())
        self._unsaved_from = snapshot.last_index + 1

    def adopt(self, initial_voters: _messages.VoterSet) -> None:
        """Takes the first voter set of the system on a blank disk."""
        self._genesis = initial_voters

    def take_unsaved(self) -> tuple[_messages.Entry, ...]:
        """Returns the entries that storage was not yet given."""
        if self._unsaved_from is None:
            return ()
        entries = self.between(self._unsaved_from, self.last_index)
        self._unsaved_from = None
        return entries

    def _replace(self, entries: Sequence[_messages.Entry]) -> None:
        self._entries = list(entries)
        self._changes = [e for e in entries if e.voters]
