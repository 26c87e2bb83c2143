"""Newest incarnation and clock reading of each entry."""

from collections.abc import Iterable
import dataclasses

from lagooncrank import model
from lagooncrank.core.state import _commands
from lagooncrank.core.state import _records


class EntryIncarnations:
    """Tracks entry incarnations and derives the ledger time from their clocks.

    The ledger time is the second-highest of the entries' clock readings, so a
    single entry whose clock runs ahead cannot make calls expire early.

    >>> incarnations = EntryIncarnations()
    >>> incarnations.record_time(model.NodeId("a"), 10)
    10
    >>> incarnations.record_time(model.NodeId("b"), 1_000_000)
    10
    >>> incarnations.record_time(model.NodeId("c"), 20)
    20
    """

    def __init__(
        self, records: Iterable[_records.EntryIncarnation] = ()
    ) -> None:
        self._records = {record.node_id: record for record in records}

    def records(self) -> tuple[_records.EntryIncarnation, ...]:
        """Returns the records of all entries, ordered by node id."""
        return tuple(self._records[n] for n in sorted(self._records))

    @property
    def ledger_time_ms(self) -> int:
        """Second-highest of the clock readings, or the only one."""
        times = sorted(r.wall_ms for r in self._records.values())
        return times[-2] if len(times) > 1 else sum(times)

    def record_time(self, node_id: model.NodeId, wall_ms: int) -> int:
        """Records an entry's clock reading and returns the ledger time."""
        known = self._find(node_id)
        later_ms = max(known.wall_ms, wall_ms)
        self._records[node_id] = dataclasses.replace(known, wall_ms=later_ms)
        return self.ledger_time_ms

    def record_incarnation(
        self, node_id: model.NodeId, incarnation: int
    ) -> None:
        """Records an entry's current incarnation."""
        known = self._find(node_id)
        latest = max(known.incarnation, incarnation)
        self._records[node_id] = dataclasses.replace(known, incarnation=latest)

    def is_superseded(self, owner: _commands.CallOwner) -> bool:
        """Whether a newer incarnation of the owner's entry is recorded."""
        return owner.incarnation < self._find(owner.node_id).incarnation

    def _find(self, node_id: model.NodeId) -> _records.EntryIncarnation:
        return self._records.get(node_id, _records.EntryIncarnation(node_id))
