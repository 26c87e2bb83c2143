"""Requests in flight at each target, the own ones and those of others."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Final

from lagooncrank.core.dispatch import _types

#: Entries up to which each knows well enough what the others have in flight.
#: In a larger fleet a place that seems taken is often free again.
MAX_ENTRIES: Final = 16
#: Parts of the free places that an entry may take while it knows the others:
#: they rarely have much to send at the same moment.
OVERCOMMIT_FACTOR: Final = 3
#: Part of the places that late requests leave to those that may be in time.
KEPT_PART: Final = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class SlotBudget:
    """What one entry may send to some targets now."""

    #: Requests that it may send; less than 1 if it sends more already.
    slots: int
    #: Places among them that are kept for requests that may be in time.
    reserved: int


def has_accurate_loads(entries: int) -> bool:
    """Whether entries are few enough to know each other's load."""
    return entries <= MAX_ENTRIES


class InFlightTracker:
    """Counts requests in flight by backend server."""

    def __init__(self) -> None:
        self._own: dict[str, int] = {}
        self._others: dict[str, int] = {}
        self._told: dict[str, int] = {}
        #: Own requests in flight when the others were last heard of.
        self._own_then: dict[str, int] = {}

    def begin(self, server_id: str) -> None:
        """Counts a request that is sent."""
        self._own[server_id] = self._own.get(server_id, 0) + 1

    def end(self, server_id: str) -> None:
        """Counts a request that has ended."""
        left = self._own.get(server_id, 0) - 1
        if left > 0:
            self._own[server_id] = left
        else:
            self._own.pop(server_id, None)

    def publish(self) -> dict[str, int]:
        """Returns this entry's requests in flight, to be told to others."""
        self._told = dict(self._own)
        return self._told

    def set_fleet_totals(self, in_flight: Mapping[str, int]) -> None:
        """Takes the sum over all entries, from a moment ago.

        The own part of that sum is taken to be what this entry told last.
        """
        self._own_then = dict(self._own)
        self._others = {
            server_id: max(count - self._told.get(server_id, 0), 0)
            for server_id, count in in_flight.items()
        }

    def slot_budget(
        self,
        targets: Sequence[_types.Target],
        entries: int,
        *,
        knows_other_loads: bool,
    ) -> SlotBudget:
        """Returns what this entry may send to some targets.

        Entries hear of each other late. Each takes some parts of the places
        that were free when it last heard, and those that it frees itself.

        Args:
            targets: Targets of one pool.
            entries: Entries that send to them.
            knows_other_loads: Whether the load of all other entries is known;
                when all start at once it is not, and all have much to send.
        """
        own = sum(self._own.get(t.server_id, 0) for t in targets)
        own_then = sum(self._own_then.get(t.server_id, 0) for t in targets)
        free = sum(max(t.slots - self.of(t.server_id), 0) for t in targets)
        free_then = sum(self._free_then(t) for t in targets)
        parts = OVERCOMMIT_FACTOR if knows_other_loads else 1
        allowed = max(round(parts * free_then / entries), 1)
        slots = sum(t.slots for t in targets)
        return SlotBudget(
            min(free, own_then + allowed - own),
            int(slots * KEPT_PART / entries),
        )

    def _free_then(self, target: _types.Target) -> int:
        own = self._own_then.get(target.server_id, 0)
        others = self._others.get(target.server_id, 0)
        return max(target.slots - own - others, 0)

    def of(self, server_id: str) -> int:
        """Returns the requests in flight at a server, as far as known."""
        return self._own.get(server_id, 0) + self._others.get(server_id, 0)
