"""Voters that took long to start do not wait for a lease once more."""

import pytest

from lagooncrank import model
from lagooncrank.core import consensus

VOTERS = tuple(
    consensus.Voter(model.NodeId(name), "1") for name in ("a", "b", "c")
)
GENESIS = consensus.DurableState(initial_voters=consensus.VoterSet(VOTERS))
TIMING = consensus.Timing()
NOW_MS = 10_000


def first_stand_ms(started_ms: int | None, draw: float) -> int:
    """Returns how long after `NOW_MS` a voter first stands for election."""
    node = consensus.Node(
        VOTERS[0], TIMING, lambda: draw, GENESIS, NOW_MS, started_ms
    )
    for now_ms in range(NOW_MS, NOW_MS + 5_000, 10):
        node.tick(now_ms)
        if node.drain(now_ms).messages:
            return now_ms - NOW_MS
    raise AssertionError("it never stood")


def test_slow_start_counts_as_waited() -> None:
    started_ms = NOW_MS - TIMING.election_min_ms
    assert first_stand_ms(started_ms, 0.0) == 0
    spread_ms = TIMING.first_election_spread_ms
    assert first_stand_ms(started_ms, 0.5) == spread_ms // 2


@pytest.mark.parametrize("started_ms", [None, NOW_MS - 500])
def test_promise_to_an_earlier_leader_is_kept(started_ms: int | None) -> None:
    assert first_stand_ms(started_ms, 0.0) >= TIMING.election_min_ms


def test_slow_starter_grants_no_vote_within_a_lease_of_its_start() -> None:
    node = consensus.Node(
        VOTERS[0], TIMING, lambda: 0.9, GENESIS, NOW_MS, NOW_MS - 500
    )
    request = consensus.VoteRequest(5, VOTERS[1], 9, 4, False)
    node.receive(request, NOW_MS + 50)
    replies = [e.message for e in node.drain(NOW_MS + 50).messages]
    assert [r.granted for r in replies] == [False]  # type: ignore[union-attr]
    node.receive(request, NOW_MS + 150)
    replies = [e.message for e in node.drain(NOW_MS + 150).messages]
    assert [r.granted for r in replies] == [True]  # type: ignore[union-attr]
