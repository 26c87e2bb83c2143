"""Assignment of a home entry to each target.

An entry knows its own requests in flight exactly, and those of other entries
only from delayed load reports. If most requests of a target are sent by one
entry, its home, that entry's own count is nearly the whole load.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import zlib

from lagooncrank import model
from lagooncrank.core.routing import _types

#: Interval at which changed targets or entries lead to a new assignment.
REFRESH_MS = 500
#: Entries that have been unresponsive for this long are no longer homes.
REMOVE_ENTRY_AFTER_MS = 3_000
#: Remoteness of a target whose home entry is unresponsive.
ORPHAN_REMOTENESS = 0.3


def assign(
    target_ids: Iterable[str], entries: Sequence[model.NodeId]
) -> dict[str, model.NodeId]:
    """Distributes targets evenly over entries by rendezvous hashing.

    Few targets move when a target or an entry is added or removed. Entries
    that know the same targets and entries compute the same result.

    >>> homes = assign(["t1", "t2"], [model.NodeId("a"), model.NodeId("b")])
    >>> sorted(homes.values())
    ['a', 'b']
    """
    ids = sorted(target_ids)
    quota, remainder = divmod(len(ids), len(entries))
    free = {
        entry: quota + (index < remainder)
        for index, entry in enumerate(entries)
    }
    homes: dict[str, model.NodeId] = {}
    for target_id in ids:
        home = max(
            (entry for entry, left in free.items() if left),
            key=lambda entry: zlib.crc32(f"{entry}/{target_id}".encode()),
        )
        free[home] -= 1
        homes[target_id] = home
    return homes


class HomeAssignment:
    """Home entries of the targets of one service, as one entry sees them."""

    def __init__(
        self, node_id: model.NodeId, entries: Sequence[model.NodeId]
    ) -> None:
        self._node_id = node_id
        self._entries = sorted({*entries, node_id})
        self._target_ids: frozenset[str] = frozenset()
        self._homes: dict[str, model.NodeId] = {}
        #: Entries that this entry cannot reach.
        self.unresponsive: frozenset[model.NodeId] = frozenset()
        self._assigned_to: tuple[model.NodeId, ...] = ()
        self._unresponsive_since_ms: dict[model.NodeId, int] = {}
        self._due_ms = 0
        #: Sequence of targets that `_own_targets` was computed from.
        self._own_targets_source: Sequence[_types.Target] = ()
        self._own_targets: list[_types.Target] = []

    def update(self, targets: Sequence[_types.Target], now_ms: int) -> None:
        """Assigns the targets again, if due and if anything changed."""
        if now_ms < self._due_ms and self._target_ids:
            return
        self._due_ms = now_ms + REFRESH_MS
        ids = frozenset(target.target_id for target in targets)
        present = self._present_entries(now_ms)
        if (ids, present) == (self._target_ids, self._assigned_to):
            return
        self._target_ids = ids
        self._assigned_to = present
        self._homes = assign(ids, present)
        self._own_targets_source = ()

    def _present_entries(self, now_ms: int) -> tuple[model.NodeId, ...]:
        """Returns the entries except those unresponsive for too long.

        If half of the entries or less would remain, it is this entry that is
        partitioned from the others, and all entries are returned.
        """
        self._unresponsive_since_ms = {
            entry: self._unresponsive_since_ms.get(entry, now_ms)
            for entry in self.unresponsive
        }
        present = tuple(
            entry
            for entry in self._entries
            if now_ms - self._unresponsive_since_ms.get(entry, now_ms)
            < REMOVE_ENTRY_AFTER_MS
        )
        if 2 * len(present) <= len(self._entries):
            return tuple(self._entries)
        return present

    def own(self, targets: Sequence[_types.Target]) -> list[_types.Target]:
        """Returns the targets whose home is this entry."""
        if targets is not self._own_targets_source:
            self._own_targets_source = targets
            self._own_targets = [
                target
                for target in targets
                if self._homes.get(target.target_id) == self._node_id
            ]
        return self._own_targets

    def remoteness(self, target_id: str) -> float:
        """Returns 0.0 if this entry is the target's home, otherwise up to 1.0.

        A target whose home is unresponsive lies between: if that entry has
        stopped, all others share its targets, but it may only be partitioned
        and still send requests.
        """
        home = self._homes.get(target_id)
        if home == self._node_id:
            return 0.0
        return ORPHAN_REMOTENESS if home in self.unresponsive else 1.0
