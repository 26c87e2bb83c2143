"""What the ledger knows of the entries: their clocks and their starts."""

from collections.abc import Iterable
import dataclasses

from lagooncrank import model
from lagooncrank.core.state import _commands
from lagooncrank.core.state import _records


class EntryNotes:
    """Derives the ledger's time from the clocks of several entries.

    The time is the second-highest that any two entries told, so one entry
    whose clock runs ahead cannot make the ledger forget calls early.

    >>> notes = EntryNotes()
    >>> notes.note_time(model.NodeId("a"), 10)
    10
    >>> notes.note_time(model.NodeId("b"), 1_000_000)
    10
    >>> notes.note_time(model.NodeId("c"), 20)
    20
    """

    def __init__(self, notes: Iterable[_records.EntryIncarnation] = ()) -> None:
        self._notes = {note.node_id: note for note in notes}

    def notes(self) -> tuple[_records.EntryIncarnation, ...]:
        """Returns what is known of each entry, by its id."""
        return tuple(self._notes[n] for n in sorted(self._notes))

    @property
    def now_ms(self) -> int:
        """The ledger's time."""
        times = sorted(note.wall_ms for note in self._notes.values())
        return times[-2] if len(times) > 1 else sum(times)

    def note_time(self, node_id: model.NodeId, wall_ms: int) -> int:
        """Takes an entry's clock reading and returns the ledger's time."""
        known = self._note_of(node_id)
        later_ms = max(known.wall_ms, wall_ms)
        self._notes[node_id] = dataclasses.replace(known, wall_ms=later_ms)
        return self.now_ms

    def note_start(self, node_id: model.NodeId, incarnation: int) -> None:
        """Takes the number of an entry's present start."""
        known = self._note_of(node_id)
        latest = max(known.incarnation, incarnation)
        self._notes[node_id] = dataclasses.replace(known, incarnation=latest)

    def is_over(self, owner: _commands.CallOwner) -> bool:
        """Whether a later start of the owner's entry is known."""
        return owner.incarnation < self._note_of(owner.node_id).incarnation

    def _note_of(self, node_id: model.NodeId) -> _records.EntryIncarnation:
        return self._notes.get(node_id, _records.EntryIncarnation(node_id))
