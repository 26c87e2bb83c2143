"""Requests of one entry that wait for a slot at a group of their model.

A group processes a fixed number of requests concurrently and queues the rest
in order of arrival. In a long queue there, all of them would miss their
latency targets. Queued at the entry instead, those that can still meet theirs
go first.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from typing import Final

from lagooncrank import model
from lagooncrank import registry

#: Fraction of the latency target that a request may spend in the queue; the
#: rest is left for the time from a slot to the first event.
MAX_QUEUED_FRACTION: Final = 0.5


#: Service and model whose slots a request needs.
Pool = tuple[model.ServiceName, str]


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits for a slot."""

    #: Identifies the request within this entry.
    number: int
    pool: Pool
    #: Client account; empty for a request without one.
    account: str
    #: Priority of the request; 0 is the most urgent.
    priority: int
    arrived_ms: int
    #: Target for the time to the first event, from the request's route.
    target_ms: int

    def can_meet_target(self, now_ms: int) -> bool:
        """Returns whether the request can still meet its latency target."""
        return now_ms - self.arrived_ms < self.target_ms * MAX_QUEUED_FRACTION


#: Returns the sort key of a request; the smallest is served first. The
#: arguments are the request, the number of running requests of its account,
#: and the current time in milliseconds.
QueueDiscipline = Callable[[QueuedRequest, int, int], tuple[int, ...]]

#: Queue disciplines by their registered name.
QUEUE_DISCIPLINES: registry.Registry[QueueDiscipline] = registry.Registry(
    "queue discipline"
)


@QUEUE_DISCIPLINES.register("arrival")
def by_arrival(
    request: QueuedRequest, running: int, now_ms: int
) -> tuple[int, ...]:
    """First come, first served; the baseline for comparisons."""
    return (request.arrived_ms,)


@QUEUE_DISCIPLINES.register("fresh-first")
def fresh_first(
    request: QueuedRequest, running: int, now_ms: int
) -> tuple[int, ...]:
    """Serves requests that can still meet their target first.

    Among these, and among the late ones, the order is by priority, then by the
    number of running requests of the client account, then by arrival.
    """
    is_late = not request.can_meet_target(now_ms)
    return (int(is_late), request.priority, running, request.arrived_ms)


@QUEUE_DISCIPLINES.register("fewest-recent")
def fewest_recent(
    request: QueuedRequest, running: int, now_ms: int
) -> tuple[int, ...]:
    """Serves accounts with the fewest requests first, late or not.

    For servers that limit their requests: waiting for one to be taken is
    usual there, and fresh requests of a large account always come.
    """
    return (request.priority, running, request.arrived_ms)


class RequestQueue:
    """Waiting requests by pool, in the order of a queue discipline."""

    def __init__(self, discipline: QueueDiscipline) -> None:
        self._discipline = discipline
        self._waiting: dict[Pool, dict[int, QueuedRequest]] = {}

    def add(self, request: QueuedRequest) -> None:
        """Adds a request."""
        pool_requests = self._waiting.setdefault(request.pool, {})
        pool_requests[request.number] = request

    def remove(self, request: QueuedRequest) -> None:
        """Removes a request, if it is still queued."""
        pool_requests = self._waiting.get(request.pool, {})
        pool_requests.pop(request.number, None)
        if not pool_requests:
            self._waiting.pop(request.pool, None)

    def length(self, pool: Pool) -> int:
        """Returns how many requests wait for a slot of a pool."""
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
        discipline: QueueDiscipline | None = None,
    ) -> QueuedRequest | None:
        """Removes and returns the next request, or None if none qualifies.

        Args:
            pool: Pool that has a free slot.
            running: Number of running requests, by client account.
            now_ms: Monotonic time in milliseconds.
            on_time_only: Whether the slot is reserved for a request that can
                still meet its latency target.
            discipline: Order of the requests, in place of that of the queue.
        """
        order = discipline or self._discipline
        candidates = [
            r
            for r in self._waiting.get(pool, {}).values()
            if not on_time_only or r.can_meet_target(now_ms)
        ]
        if not candidates:
            return None
        first = min(
            candidates,
            key=lambda r: order(r, running.get(r.account, 0), now_ms),
        )
        self.remove(first)
        return first
