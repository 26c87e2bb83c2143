"""Takes targets in turn, whatever their load. The baseline."""

from collections.abc import Collection
from collections.abc import Sequence

from lagooncrank import model
from lagooncrank.core.routing import _policies
from lagooncrank.core.routing import _types


@_policies.ROUTERS.register("round_robin")
class RoundRobinRouter:
    """Chooses the allowed targets of each service in turn."""

    def __init__(self) -> None:
        self._turns: dict[model.ServiceName, int] = {}

    @classmethod
    def from_config(cls, config: _policies.RouterConfig) -> "RoundRobinRouter":
        """Returns a router; it needs nothing of `config`."""
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
        turn = self._turns.get(query.service, 0)
        self._turns[query.service] = turn + 1
        return allowed[turn % len(allowed)]

    def sent(
        self, query: _types.RouteQuery, target: _types.Target, now_ms: int
    ) -> None:
        """Ignores what was sent."""

    def first_token(self, request_id: model.RequestId, now_ms: int) -> None:
        """Ignores first tokens."""

    def tokens(
        self, request_id: model.RequestId, count: int, now_ms: int
    ) -> None:
        """Ignores tokens."""

    def ended(
        self,
        request_id: model.RequestId,
        end: _types.AttemptOutcome,
        now_ms: int,
    ) -> None:
        """Ignores ends."""

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
        """Returns no targets."""
        return frozenset()

    def avoided(
        self, service: model.ServiceName, now_ms: int
    ) -> frozenset[str]:
        """Returns no targets."""
        return frozenset()
