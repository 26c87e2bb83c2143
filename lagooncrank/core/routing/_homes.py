"""Assignment of a home entry to each target.

An entry knows its own requests exactly and those of others only as old load
reports tell. If each target gets most of its requests through one entry, that
entry's count is nearly all there is to know.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import zlib

from lagooncrank import model
from lagooncrank.core.routing import _types

#: The assignment is made anew this often, if targets came or went.
REFRESH_MS = 500
#: Entries that are silent for this long are given no homes.
GONE_MS = 3_000
#: How far away a silent entry's target counts.
ORPHAN = 0.3


def assign(
    target_ids: Iterable[str], entries: Sequence[model.NodeId]
) -> dict[str, model.NodeId]:
    """Assigns targets to entries evenly; few move when one comes or goes.

    Entries that know the same targets and entries come to the same result.

    >>> homes = assign(["t1", "t2"], [model.NodeId("a"), model.NodeId("b")])
    >>> sorted(homes.values())
    ['a', 'b']
    """
    ids = sorted(target_ids)
    least, more = divmod(len(ids), len(entries))
    room = {
        entry: least + (index < more) for index, entry in enumerate(entries)
    }
    homes: dict[str, model.NodeId] = {}
    for target_id in ids:
        home = max(
            (entry for entry, left in room.items() if left),
            key=lambda entry: zlib.crc32(f"{entry}/{target_id}".encode()),
        )
        room[home] -= 1
        homes[target_id] = home
    return homes


class Homes:
    """Knows which targets of one service are at home at this entry."""

    def __init__(
        self, node_id: model.NodeId, entries: Sequence[model.NodeId]
    ) -> None:
        self._node_id = node_id
        self._entries = sorted({*entries, node_id})
        self._known: frozenset[str] = frozenset()
        self._homes: dict[str, model.NodeId] = {}
        #: Entries that were not heard from lately.
        self.silent: frozenset[model.NodeId] = frozenset()
        self._assigned_to: tuple[model.NodeId, ...] = ()
        self._silent_since_ms: dict[model.NodeId, int] = {}
        self._due_ms = 0
        self._of_targets: Sequence[_types.Target] = ()
        self._own_targets: list[_types.Target] = []

    def update(self, targets: Sequence[_types.Target], now_ms: int) -> None:
        """Assigns the targets anew, when due and if they changed."""
        if now_ms < self._due_ms and self._known:
            return
        self._due_ms = now_ms + REFRESH_MS
        ids = frozenset(target.target_id for target in targets)
        present = self._present(now_ms)
        if (ids, present) == (self._known, self._assigned_to):
            return
        self._known = ids
        self._assigned_to = present
        self._homes = assign(ids, present)
        self._of_targets = ()

    def _present(self, now_ms: int) -> tuple[model.NodeId, ...]:
        """Returns the entries to assign to: without the long silent ones.

        If that would leave half of them or less, it is this entry that is cut
        off, and all stay.
        """
        self._silent_since_ms = {
            entry: self._silent_since_ms.get(entry, now_ms)
            for entry in self.silent
        }
        present = tuple(
            entry
            for entry in self._entries
            if now_ms - self._silent_since_ms.get(entry, now_ms) < GONE_MS
        )
        if 2 * len(present) <= len(self._entries):
            return tuple(self._entries)
        return present

    def own(self, targets: Sequence[_types.Target]) -> list[_types.Target]:
        """Returns the targets at home here."""
        if targets is not self._of_targets:
            self._of_targets = targets
            self._own_targets = [
                target
                for target in targets
                if self._homes.get(target.target_id) == self._node_id
            ]
        return self._own_targets

    def away(self, target_id: str) -> float:
        """Returns 0.0 for a target at home here and 1.0 for one elsewhere.

        The target of a silent entry lies between: the entry may be gone, and
        then all others share its targets, or it may only be cut off.
        """
        home = self._homes.get(target_id)
        if home == self._node_id:
            return 0.0
        return ORPHAN if home in self.silent else 1.0
