"""Requests of one entry that wait for a place at a group of their model.

A group works on a fixed number of requests at once and lets the others wait
in their order of arrival. Beyond that number all of them would come late.
Waiting here instead, those that can still be in time go first.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from typing import Final

from lagooncrank import model
from lagooncrank import registry

#: Part of the latency aimed at that a request may wait and be in time: the
#: rest goes to the first event.
FRESH_PART: Final = 0.5


#: Service and model whose places a request needs.
Pool = tuple[model.ServiceName, str]


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits."""

    #: Names the request within this entry.
    number: int
    pool: Pool
    #: Client account; empty for a request without one.
    account: str
    #: Rank of the request; 0 is the most urgent.
    priority: int
    arrived_ms: int
    #: Time to the first event that its route aims at.
    target_ms: int

    def can_meet_target(self, now_ms: int) -> bool:
        """Whether it can still be answered in time."""
        return now_ms - self.arrived_ms < self.target_ms * FRESH_PART


#: Returns the place of a request in the order: the smallest goes first.
Order = Callable[[QueuedRequest, int, int], tuple[int, ...]]

#: Every order by the name that settings use. Each takes the request, the
#: requests of its client account that run, and the time.
QUEUE_DISCIPLINES: registry.Registry[Order] = registry.Registry("waiting order")


@QUEUE_DISCIPLINES.register("arrival")
def by_arrival(
    request: QueuedRequest, running: int, now_ms: int
) -> tuple[int, ...]:
    """First come, first served; the one to compare with."""
    return (request.arrived_ms,)


@QUEUE_DISCIPLINES.register("fresh-first")
def fresh_first(
    request: QueuedRequest, running: int, now_ms: int
) -> tuple[int, ...]:
    """Those in time first, then the accounts with the least work running."""
    is_late = not request.can_meet_target(now_ms)
    return (int(is_late), request.priority, running, request.arrived_ms)


class RequestQueue:
    """Requests that wait, by pool of places."""

    def __init__(self, order: Order) -> None:
        self._order = order
        self._waiting: dict[Pool, dict[int, QueuedRequest]] = {}

    def add(self, request: QueuedRequest) -> None:
        """Takes a request."""
        of_pool = self._waiting.setdefault(request.pool, {})
        of_pool[request.number] = request

    def remove(self, request: QueuedRequest) -> None:
        """Drops a request, if it still waits."""
        of_pool = self._waiting.get(request.pool, {})
        of_pool.pop(request.number, None)
        if not of_pool:
            self._waiting.pop(request.pool, None)

    def length(self, pool: Pool) -> int:
        """Returns how many requests wait for a place of a pool."""
        return len(self._waiting.get(pool, ()))

    def pools(self) -> tuple[Pool, ...]:
        """Returns the pools that requests wait for."""
        return tuple(self._waiting)

    def pop_next(
        self,
        pool: Pool,
        running: Mapping[str, int],
        now_ms: int,
        *,
        on_time_only: bool = False,
    ) -> QueuedRequest | None:
        """Removes and returns the request whose turn it is, if any waits.

        Args:
            pool: Pool that has a place.
            running: Requests that run, by client account.
            now_ms: Monotonic time.
            on_time_only: Whether the place is kept for a request that can
                still be in time.
        """
        candidates = [
            r
            for r in self._waiting.get(pool, {}).values()
            if not on_time_only or r.can_meet_target(now_ms)
        ]
        if not candidates:
            return None
        first = min(
            candidates,
            key=lambda r: self._order(r, running.get(r.account, 0), now_ms),
        )
        self.remove(first)
        return first
