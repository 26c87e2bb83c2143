"""Takes cache events of engines, which come late and with gaps."""

import dataclasses

from lagooncrank import model
from lagooncrank.core import routing


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvents:
    """Body of `POST /v1/cache-events`."""

    replica_id: model.ReplicaId
    #: Higher for each start of the replica's first member.
    incarnation: int
    #: Higher by one for each body of one incarnation.
    sequence: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


class CacheHintUpdater:
    """Passes events on to routing in order; a gap drops what was known."""

    def __init__(self, router: routing.Router) -> None:
        self._router = router
        self._last: dict[model.ReplicaId, tuple[int, int]] = {}

    def apply(self, events: CacheEvents) -> bool:
        """Takes one body of events.

        Returns:
            False if the body is older than one that was taken.
        """
        last = self._last.get(events.replica_id)
        now = (events.incarnation, events.sequence)
        if last is not None and now <= last:
            return False
        if last != (events.incarnation, events.sequence - 1):
            self._router.clear_cache_hints(events.replica_id)
        self._last[events.replica_id] = now
        self._router.update_cache_hints(
            events.replica_id, events.added, events.removed
        )
        return True

    def retain_only(self, replica_ids: frozenset[model.ReplicaId]) -> None:
        """Forgets replicas that no longer exist."""
        for replica_id in self._last.keys() - replica_ids:
            del self._last[replica_id]
            self._router.clear_cache_hints(replica_id)
