"""First election and votes of voters whose process started slowly.

The time since the process start counts toward the leader lease that a
restarted voter must respect.
"""

import pytest

from lagooncrank import model
from lagooncrank.core import consensus

VOTERS = tuple(
    consensus.Voter(model.NodeId(name), "1") for name in ("a", "b", "c")
)
BOOTSTRAPPED = consensus.DurableState(initial_voters=consensus.VoterSet(VOTERS))
TIMING = consensus.Timing()
NOW_MS = 10_000


def first_election_delay_ms(started_ms: int | None, random_float: float) -> int:
    """Returns the delay after `NOW_MS` until a voter starts an election."""
    node = consensus.Node(
        VOTERS[0],
        TIMING,
        lambda: random_float,
        BOOTSTRAPPED,
        NOW_MS,
        started_ms,
    )
    for now_ms in range(NOW_MS, NOW_MS + 5_000, 10):
        node.tick(now_ms)
        if node.take_output(now_ms).messages:
            return now_ms - NOW_MS
    raise AssertionError("voter started no election")


def test_startup_time_counts_toward_the_election_timeout() -> None:
    started_ms = NOW_MS - TIMING.election_timeout_min_ms
    assert first_election_delay_ms(started_ms, 0.0) == 0
    jitter_ms = TIMING.first_election_jitter_ms
    assert first_election_delay_ms(started_ms, 0.5) == jitter_ms // 2


@pytest.mark.parametrize("started_ms", [None, NOW_MS - 500])
def test_possible_lease_of_an_earlier_leader_is_respected(
    started_ms: int | None,
) -> None:
    assert (
        first_election_delay_ms(started_ms, 0.0)
        >= TIMING.election_timeout_min_ms
    )


def test_no_vote_is_granted_within_an_election_timeout_of_the_start() -> None:
    node = consensus.Node(
        VOTERS[0], TIMING, lambda: 0.9, BOOTSTRAPPED, NOW_MS, NOW_MS - 500
    )
    request = consensus.VoteRequest(5, VOTERS[1], 9, 4, False)
    node.receive(request, NOW_MS + 50)
    replies = [e.message for e in node.take_output(NOW_MS + 50).messages]
    assert [r.granted for r in replies] == [False]  # type: ignore[union-attr]
    node.receive(request, NOW_MS + 150)
    replies = [e.message for e in node.take_output(NOW_MS + 150).messages]
    assert [r.granted for r in replies] == [True]  # type: ignore[union-attr]
