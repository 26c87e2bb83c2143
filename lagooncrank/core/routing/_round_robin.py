"""Round-robin routing: the baseline that other routers are compared with."""

from collections.abc import Collection
from collections.abc import Sequence

from lagooncrank import model
from lagooncrank.core.routing import _policies
from lagooncrank.core.routing import _types


@_policies.ROUTERS.register("round_robin")
class RoundRobinRouter:
    """Cycles through the allowed targets of each service, ignoring load."""

    def __init__(self) -> None:
        self._next_index: dict[model.ServiceName, int] = {}

    @classmethod
    def from_config(cls, config: _policies.RouterConfig) -> "RoundRobinRouter":
        """Returns a router; `config` is not used."""
        return cls()

    def choose(
        self,
        query: _types.RouteQuery,
        targets: Sequence[_types.Target],
        now_ms: int,
    ) -> _types.Target | None:
        """Returns the next allowed target, or None if there is none."""
        allowed = [t for t in targets if t.target_id not in query.excluded]
        if not allowed:
            return None
        index = self._next_index.get(query.service, 0)
        self._next_index[query.service] = index + 1
        return allowed[index % len(allowed)]

    def sent(
        self, query: _types.RouteQuery, target: _types.Target, now_ms: int
    ) -> None:
        """Ignores sent attempts."""

    def first_token(self, request_id: model.RequestId, now_ms: int) -> None:
        """Ignores first tokens."""

    def tokens(
        self, request_id: model.RequestId, count: int, now_ms: int
    ) -> None:
        """Ignores tokens."""

    def ended(
        self,
        request_id: model.RequestId,
        outcome: _types.AttemptOutcome,
        now_ms: int,
    ) -> None:
        """Ignores outcomes."""

    def update_cache_hints(
        self, target_id: str, added: Sequence[int], removed: Sequence[int]
    ) -> None:
        """Ignores cache hints."""

    def clear_cache_hints(self, target_id: str) -> None:
        """Ignores cache hints."""

    def set_unresponsive_entries(
        self, entries: Collection[model.NodeId]
    ) -> None:
        """Ignores other entries."""

    def stragglers(self, service: model.ServiceName) -> frozenset[str]:
        """Returns an empty set; no target is treated differently."""
        return frozenset()

    def avoided(
        self, service: model.ServiceName, now_ms: int
    ) -> frozenset[str]:
        """Returns an empty set; no target is treated differently."""
        return frozenset()
