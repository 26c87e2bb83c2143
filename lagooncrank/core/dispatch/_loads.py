"""Requests in flight at each target, from this entry and from others."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Final

from lagooncrank.core.dispatch import _types

#: Maximum number of entries whose published loads are accurate enough to act
#: on. In a larger fleet a slot that seems occupied is often free again.
MAX_ENTRIES: Final = 16
#: Multiple of its equal share of the free slots that an entry may use while it
#: knows the loads of the others, as they rarely have many requests to send at
#: the same moment.
OVERCOMMIT_FACTOR: Final = 3
#: Fraction of the slots that is reserved for requests that can still meet their
#: latency target.
RESERVED_FRACTION: Final = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class SlotBudget:
    """Number of requests that one entry may send to a set of targets now."""

    #: Slots that the entry may use; 0 or negative if it has used up its share.
    slots: int
    #: How many of them are reserved for requests that can still meet their
    #: latency target.
    reserved: int


def has_accurate_loads(entry_count: int) -> bool:
    """Returns whether published loads are accurate with this many entries."""
    return entry_count <= MAX_ENTRIES


class InFlightTracker:
    """Counts the requests in flight at each backend server.

    The requests of this entry are counted as they begin and end. Those of the
    other entries are known from totals that control nodes send with a delay.
    """

    def __init__(self) -> None:
        self._own: dict[str, int] = {}
        self._others: dict[str, int] = {}
        self._published: dict[str, int] = {}
        #: Own requests in flight when the newest totals arrived.
        self._own_at_totals: dict[str, int] = {}

    def begin(self, server_id: str) -> None:
        """Counts a request that is sent to a server."""
        self._own[server_id] = self._own.get(server_id, 0) + 1

    def end(self, server_id: str) -> None:
        """Removes a request that has ended from the count."""
        remaining = self._own.get(server_id, 0) - 1
        if remaining > 0:
            self._own[server_id] = remaining
        else:
            self._own.pop(server_id, None)

    def publish(self) -> dict[str, int]:
        """Returns this entry's requests in flight, for publication."""
        self._published = dict(self._own)
        return self._published

    def set_fleet_totals(self, in_flight: Mapping[str, int]) -> None:
        """Sets the requests in flight over all entries, as of a moment ago.

        They are assumed to include what this entry published last.
        """
        self._own_at_totals = dict(self._own)
        self._others = {
            server_id: max(count - self._published.get(server_id, 0), 0)
            for server_id, count in in_flight.items()
        }

    def slot_budget(
        self,
        targets: Sequence[_types.Target],
        entry_count: int,
        *,
        knows_other_loads: bool,
    ) -> SlotBudget:
        """Returns how many requests this entry may send to some targets.

        As totals arrive late, each entry uses a share of the slots that were
        free according to the newest totals, and the slots that its own
        requests free since then.

        Args:
            targets: Targets of one pool.
            entry_count: Number of entries that send to them.
            knows_other_loads: Whether the loads of all other entries are known.
                They are unknown just after all entries have started at the
                same time, when each of them has many requests to send.
        """
        own = sum(self._own.get(t.server_id, 0) for t in targets)
        own_at_totals = sum(
            self._own_at_totals.get(t.server_id, 0) for t in targets
        )
        free = sum(
            max(t.slots - self.in_flight(t.server_id), 0) for t in targets
        )
        free_at_totals = sum(self._free_at_totals(t) for t in targets)
        factor = OVERCOMMIT_FACTOR if knows_other_loads else 1
        allowed = max(round(factor * free_at_totals / entry_count), 1)
        slots = sum(t.slots for t in targets)
        return SlotBudget(
            min(free, own_at_totals + allowed - own),
            int(slots * RESERVED_FRACTION / entry_count),
        )

    def _free_at_totals(self, target: _types.Target) -> int:
        own = self._own_at_totals.get(target.server_id, 0)
        others = self._others.get(target.server_id, 0)
        return max(target.slots - own - others, 0)

    def in_flight(self, server_id: str) -> int:
        """Returns the requests in flight at a server, as far as known."""
        return self._own.get(server_id, 0) + self._others.get(server_id, 0)
