"""Orders the cache events of engines, which may be late or incomplete."""

import dataclasses

from lagooncrank import model
from lagooncrank.core import routing


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvents:
    """Body of `POST /v1/cache-events`."""

    replica_id: model.ReplicaId
    #: Increases with each start of the replica's first member.
    incarnation: int
    #: Increases by one with each body of the same incarnation.
    sequence: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


class CacheHintUpdater:
    """Forwards cache events to the router in order.

    A gap in a replica's sequence clears the router's hints of that replica,
    because the missing events may have made them wrong.
    """

    def __init__(self, router: routing.Router) -> None:
        self._router = router
        self._last_applied: dict[model.ReplicaId, tuple[int, int]] = {}

    def apply(self, events: CacheEvents) -> bool:
        """Applies one body of events.

        Returns:
            False if the body is not newer than the last applied one.
        """
        last = self._last_applied.get(events.replica_id)
        position = (events.incarnation, events.sequence)
        if last is not None and position <= last:
            return False
        if last != (events.incarnation, events.sequence - 1):
            self._router.clear_cache_hints(events.replica_id)
        self._last_applied[events.replica_id] = position
        self._router.update_cache_hints(
            events.replica_id, events.added, events.removed
        )
        return True

    def retain_only(self, replica_ids: frozenset[model.ReplicaId]) -> None:
        """Clears the hints of replicas that no longer exist."""
        for replica_id in self._last_applied.keys() - replica_ids:
            del self._last_applied[replica_id]
            self._router.clear_cache_hints(replica_id)
