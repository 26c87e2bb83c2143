from collections.abc import Sequence

import pytest

from lagooncrank import model
from lagooncrank.core import routing
from lagooncrank.server import _cache_hints
from lagooncrank.server.tests import harness as harnesses

REPLICA = model.ReplicaId("r1")


class RecordingRouter(routing.RoundRobinRouter):
    """Router that stores the cache hints it receives."""

    def __init__(self) -> None:
        super().__init__()
        self.cached: set[int] = set()

    def update_cache_hints(
        self, target_id: str, added: Sequence[int], removed: Sequence[int]
    ) -> None:
        self.cached.difference_update(removed)
        self.cached.update(added)

    def clear_cache_hints(self, target_id: str) -> None:
        self.cached.clear()


def events(
    incarnation: int, sequence: int, *added: int
) -> _cache_hints.CacheEvents:
    return _cache_hints.CacheEvents(REPLICA, incarnation, sequence, added)


@pytest.mark.parametrize(
    ("bodies", "cached"),
    [
        pytest.param([events(1, 7, 1), events(1, 8, 2)], {1, 2}, id="in_order"),
        pytest.param([events(1, 7, 1), events(1, 9, 2)], {2}, id="gap"),
        pytest.param([events(1, 7, 1), events(1, 7, 2)], {1}, id="duplicate"),
        pytest.param([events(1, 7, 1), events(1, 6, 2)], {1}, id="late"),
        pytest.param([events(1, 7, 1), events(2, 1, 2)], {2}, id="restart"),
        pytest.param(
            [events(2, 1, 1), events(1, 8, 2)], {1}, id="old_incarnation"
        ),
    ],
)
def test_hints_follow_the_sequence_of_events(
    bodies: list[_cache_hints.CacheEvents], cached: set[int]
) -> None:
    router = RecordingRouter()
    hints = _cache_hints.CacheHintUpdater(router)
    for body in bodies:
        hints.apply(body)
    assert router.cached == cached


def test_hints_of_removed_replicas_are_cleared() -> None:
    router = RecordingRouter()
    hints = _cache_hints.CacheHintUpdater(router)
    hints.apply(events(1, 1, 1))
    hints.retain_only(frozenset())
    assert router.cached == set()
    assert hints.apply(events(1, 1, 2))


async def test_events_arrive_over_http(
    harness: harnesses.DaemonHarness,
) -> None:
    replica_id = next(iter(harness.shared.view.replicas))
    body = {"replica_id": replica_id, "incarnation": 1, "sequence": 1}
    url = harness.url("/v1/cache-events")
    taken = []
    for added in ([1], [2]):
        fields = body | {"added": added}
        async with harness.session.post(url, json=fields) as response:
            taken.append((await response.json())["taken"])
    async with harness.session.post(
        url, json=body | {"replica_id": "x"}
    ) as other:
        assert other.status == 404
    assert taken == [True, False]
