"""Elections, contact and leases of voters that run late or stand still."""

from collections.abc import Callable
import random

import pytest

from lagooncrank import model
from lagooncrank.core import consensus
from lagooncrank.core.consensus.tests import invariants
from lagooncrank.core.consensus.tests import mutations
from lagooncrank.core.consensus.tests import simulated_cluster as clusters

TIMING = consensus.Timing()
#: A message waits for one step of each node that it passes.
STEPS_OF_A_ROUND = 3
#: Shortest and longest time between two steps of a voter that runs late.
HOLDS_MS = ((100, 300), (300, 600), (500, 500), (300, 1_300), (600, 2_000))


class LateVoters:
    """A cluster with a leader, whose voters only run a step now and then.

    What arrives meanwhile waits, and is read after the timers have run.
    """

    def __init__(self, seed: int, hold_ms: tuple[int, int]) -> None:
        self.cluster = clusters.SimulatedCluster(seed)
        self.cluster.has_workload = False
        self._checks = invariants.Invariants(self.cluster)
        invariants.run_checked(self.cluster, self._checks, 5_000)
        self.hosts = [self.cluster.hosts[n] for n in self.cluster.voter_ids]
        self._hold_ms = hold_ms
        self._random = random.Random(seed)
        now_ms = self.cluster.now_ms
        self._due_ms = {
            h.node_id: now_ms + self._random.randint(0, hold_ms[1])
            for h in self.hosts
        }

    @property
    def term(self) -> int:
        return max(h.participant.term for h in self.hosts)

    def contact_age_ms(self) -> int:
        """Returns the age of the newest quorum contact of any voter."""
        ages_ms = [h.participant.contact_age_ms(h.now_ms) for h in self.hosts]
        return min(age_ms for age_ms in ages_ms if age_ms is not None)

    def step(self) -> None:
        due_ms = self.cluster.now_ms + clusters.STEP_MS
        for host in self.hosts:
            host.paused = due_ms < self._due_ms[host.node_id]
        invariants.run_checked(self.cluster, self._checks, clusters.STEP_MS)
        for host in self.hosts:
            if not host.paused:
                hold_ms = self._random.randint(*self._hold_ms)
                self._due_ms[host.node_id] = due_ms + hold_ms


# Guards against: control nodes that all get little processor time depose a
# sound leader again and again, and nothing can be read or changed.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("hold_ms", HOLDS_MS)
def test_voters_that_all_run_late_keep_their_leader(
    hold_ms: tuple[int, int], seed: int
) -> None:
    late = LateVoters(seed, hold_ms)
    term = late.term
    max_age_ms = STEPS_OF_A_ROUND * (hold_ms[1] + clusters.STEP_MS)
    for _ in range(0, 20_000, clusters.STEP_MS):
        late.step()
        assert late.contact_age_ms() <= max_age_ms
    assert late.term == term


# Guards against: late control nodes neither confirm a read nor commit a change.
@pytest.mark.parametrize("hold_ms", HOLDS_MS)
def test_late_voters_confirm_reads_and_commit_changes(
    hold_ms: tuple[int, int],
) -> None:
    late = LateVoters(1, hold_ms)
    host = late.cluster.leader()
    host.read()
    host.calls.apply_declarations(host.applier.revision)
    # Both wait for two rounds at most: one that has begun, and one more.
    for _ in range(0, 2 * STEPS_OF_A_ROUND * hold_ms[1], clusters.STEP_MS):
        late.step()
    assert not host.reads
    assert host.applier.revision == 1


# Guards against: a leader without timely replies holds its lease.
def test_lease_of_a_late_leader_expires_in_real_time() -> None:
    late = LateVoters(1, (500, 500))
    leader = late.cluster.leader()
    for host in late.hosts:
        host.paused = True
    late.cluster.now_ms += TIMING.lease_ms
    assert not leader.participant.has_leader_lease(leader.now_ms)


def elected_follower() -> tuple[consensus.Node, int]:
    """Returns a voter that has just heard from its leader, and the time."""
    voters = tuple(
        consensus.Voter(model.NodeId(name), "1") for name in ("a", "b", "c")
    )
    durable = consensus.DurableState(initial_voters=consensus.VoterSet(voters))
    node = consensus.Node(voters[0], TIMING, lambda: 0.0, durable, 0)
    now_ms = 10_000
    heartbeat = consensus.AppendRequest(1, voters[1], 0, 0, (), 0, 1, now_ms)
    node.receive(heartbeat, now_ms)
    node.take_output(now_ms)
    return node, now_ms


def is_vote_granted(node: consensus.Node, candidate: str, now_ms: int) -> bool:
    voter = consensus.Voter(model.NodeId(candidate), "1")
    node.receive(consensus.VoteRequest(2, voter, 9, 1, False), now_ms)
    (reply,) = (e.message for e in node.take_output(now_ms).messages)
    assert isinstance(reply, consensus.VoteReply)
    return reply.granted


# Guards against: a voter counts its own standstill as silence of its leader.
def test_voter_that_stood_still_asks_for_no_votes_and_grants_none() -> None:
    node, now_ms = elected_follower()
    now_ms += 5_000
    node.observe(5_000 - 150)
    node.tick(now_ms)
    assert not node.take_output(now_ms).messages
    assert not is_vote_granted(node, "c", now_ms)


# Guards against: a leader that is gone is not replaced by late voters.
@pytest.mark.parametrize("missed_ms", [0, 5_000])
def test_silence_in_observed_time_is_evidence(missed_ms: int) -> None:
    node, now_ms = elected_follower()
    now_ms += missed_ms + TIMING.election_timeout_min_ms
    node.observe(missed_ms)
    assert is_vote_granted(node, "c", now_ms)


# Guards against: a leader that has stepped down waits for its own lease.
def test_leader_that_stepped_down_gets_votes_at_once() -> None:
    node, now_ms = elected_follower()
    assert not is_vote_granted(node, "c", now_ms)
    assert is_vote_granted(node, "b", now_ms)


def keep_leader() -> None:
    test_voters_that_all_run_late_keep_their_leader((300, 600), 0)


@pytest.mark.parametrize(
    "targeted_test",
    [
        keep_leader,
        test_voter_that_stood_still_asks_for_no_votes_and_grants_none,
    ],
)
def test_standstill_taken_for_silence_is_detected(
    targeted_test: Callable[[], None],
) -> None:
    name = "own_standstill_taken_for_silence"
    with mutations.mutated(name), pytest.raises(AssertionError):
        targeted_test()
