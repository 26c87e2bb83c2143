"""Behavior of small node clusters under single faults."""

from collections.abc import Callable

import pytest

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import consensus
from lagooncrank.core.consensus.tests import mutations
from lagooncrank.core.consensus.tests import node_cluster as clusters


def cluster_with_leader(
    size: int = 3, spares: int = 0
) -> tuple[clusters.NodeCluster, clusters.Process]:
    cluster = clusters.NodeCluster(size, seed=7, spares=spares)
    cluster.run(4_000)
    (leader,) = cluster.leaders()
    return cluster, leader


def data_of(process: clusters.Process) -> list[bytes]:
    return [e.data for e in process.applied if e.data]


@pytest.mark.parametrize("size", [1, 3, 5])
def test_commands_reach_every_node_in_order(size: int) -> None:
    cluster, leader = cluster_with_leader(size)
    cluster.propose(leader, b"a")
    cluster.propose(leader, b"b")
    cluster.run(200)
    for process in cluster.processes.values():
        assert data_of(process) == [b"a", b"b"]


def test_commit_is_sent_to_followers_before_the_next_heartbeat() -> None:
    cluster, leader = cluster_with_leader()
    cluster.propose(leader, b"a")
    cluster.settle()
    for process in cluster.processes.values():
        assert data_of(process) == [b"a"]


def test_minority_commits_nothing_and_leader_steps_down() -> None:
    cluster, leader = cluster_with_leader()
    cluster.isolate(leader)
    cluster.propose(leader, b"lost")
    cluster.run(3_000)
    assert leader.node.status.role is not consensus.Role.LEADER
    (successor,) = cluster.leaders()
    cluster.propose(successor, b"kept")
    cluster.blocked.clear()
    cluster.run(1_000)
    for process in cluster.processes.values():
        assert data_of(process) == [b"kept"]


def test_isolated_follower_does_not_disturb_the_leader() -> None:
    cluster, leader = cluster_with_leader()
    term = leader.node.status.term
    follower = next(p for p in cluster.processes.values() if p is not leader)
    cluster.isolate(follower)
    cluster.run(10_000)
    cluster.blocked.clear()
    cluster.run(2_000)
    assert cluster.leaders() == [leader]
    assert leader.node.status.term == term


def test_lease_expires_before_another_node_can_lead() -> None:
    cluster, leader = cluster_with_leader()
    cluster.isolate(leader)
    timing = consensus.Timing()
    assert timing.lease_ms < timing.election_timeout_min_ms
    cluster.clock.advance(timing.lease_ms)
    assert leader.node.status.role is consensus.Role.LEADER
    assert not leader.node.has_leader_lease(cluster.clock.now_ms())
    while cluster.leaders() in ([], [leader]):
        cluster.run(clusters.TICK_MS)
        assert not leader.node.has_leader_lease(cluster.clock.now_ms())


def test_read_of_a_deposed_leader_is_not_confirmed() -> None:
    cluster, leader = cluster_with_leader()
    cluster.isolate(leader)
    leader.node.read(1, cluster.clock.now_ms())
    cluster.run(3_000)
    assert leader.reads == [consensus.ReadResult(1, None)]


def test_read_is_confirmed_by_a_quorum() -> None:
    cluster, leader = cluster_with_leader()
    leader.node.read(1, cluster.clock.now_ms())
    cluster.process_output(leader)
    assert leader.reads == []
    cluster.settle()
    index = leader.node.status.commit_index
    assert leader.reads == [consensus.ReadResult(1, index)]


def test_proposal_for_an_earlier_term_is_refused() -> None:
    _, leader = cluster_with_leader()
    proposal = consensus.ProposalId(leader.node_id, 1, 1)
    term = leader.node.status.term
    code = leader.node.propose(b"x", proposal, term - 1)
    assert code is results.ResultCode.NOT_LEADER


def test_follower_behind_the_log_catches_up_by_snapshot() -> None:
    cluster, leader = cluster_with_leader()
    follower = next(p for p in cluster.processes.values() if p is not leader)
    cluster.crash(follower)
    for number in range(300):
        cluster.propose(leader, b"%d" % number)
    cluster.run(200)
    index = leader.node.status.commit_index
    leader.disk.compact(leader.node.compact(index, b"state"))
    cluster.restart(follower)
    cluster.propose(leader, b"after")
    cluster.run(500)
    assert follower.snapshot_index == index
    assert data_of(follower) == [b"after"]
    assert follower.disk.synced.snapshot == leader.disk.synced.snapshot


def test_restarted_voter_respects_a_possible_leader_lease() -> None:
    cluster, leader = cluster_with_leader()
    follower = next(p for p in cluster.processes.values() if p is not leader)
    cluster.crash(follower)
    cluster.restart(follower)
    status = follower.node.status
    request = consensus.VoteRequest(
        status.term + 1, leader.disk.voter, 99, 99, pre_vote=False
    )
    follower.node.receive(request, cluster.clock.now_ms())
    output = follower.node.take_output(cluster.clock.now_ms())
    (envelope,) = output.messages
    assert isinstance(envelope.message, consensus.VoteReply)
    assert not envelope.message.granted


def is_vote_granted(
    cluster: clusters.NodeCluster,
    voter: clusters.Process,
    candidate: str,
    last_index: int = 99,
) -> bool:
    """Whether a voter grants its vote to a candidate in term 50."""
    candidate_voter = cluster.processes[model.NodeId(candidate)].disk.voter
    last_term = voter.node.status.term
    request = consensus.VoteRequest(
        50, candidate_voter, last_index, last_term, pre_vote=False
    )
    voter.node.receive(request, cluster.clock.now_ms())
    sent = len(cluster.packets)
    cluster.process_output(voter)
    reply = cluster.packets[sent].message
    assert isinstance(reply, consensus.VoteReply)
    return reply.granted


def test_restarted_voter_keeps_its_vote() -> None:
    cluster = clusters.NodeCluster(3, seed=1)
    voter = cluster.processes[model.NodeId("n0")]
    election_timeout_ms = consensus.Timing().election_timeout_min_ms
    cluster.clock.advance(election_timeout_ms)
    assert is_vote_granted(cluster, voter, "n1")
    cluster.crash(voter)
    cluster.restart(voter)
    cluster.clock.advance(election_timeout_ms)
    assert not is_vote_granted(cluster, voter, "n2")
    assert is_vote_granted(cluster, voter, "n1")


def test_candidate_that_lacks_entries_gets_no_vote() -> None:
    cluster, leader = cluster_with_leader()
    follower = next(p for p in cluster.processes.values() if p is not leader)
    cluster.crash(leader)
    cluster.clock.advance(consensus.Timing().election_timeout_min_ms)
    last_index = follower.node.status.last_index
    candidate = leader.node_id
    assert not is_vote_granted(cluster, follower, candidate, last_index - 1)
    assert is_vote_granted(cluster, follower, candidate, last_index)


@pytest.mark.parametrize(
    ("name", "targeted_test"),
    [
        ("vote_not_stored", test_restarted_voter_keeps_its_vote),
        (
            "candidate_may_lack_entries",
            test_candidate_that_lacks_entries_gets_no_vote,
        ),
        (
            "lease_without_quorum",
            test_lease_expires_before_another_node_can_lead,
        ),
    ],
    ids=["vote_not_stored", "candidate_may_lack_entries", "lease"],
)
def test_mutation_is_detected_by_its_test(
    name: str, targeted_test: Callable[[], None]
) -> None:
    with mutations.mutated(name), pytest.raises(AssertionError):
        targeted_test()


def test_replaced_disk_votes_only_after_a_learner_stage() -> None:
    cluster, leader = cluster_with_leader()
    replaced = next(p for p in cluster.processes.values() if p is not leader)
    old_voter = replaced.disk.voter
    cluster.propose(leader, b"a")
    cluster.crash(replaced)
    cluster.replace_disk(replaced)
    cluster.run(3_000)
    assert replaced.applied == []
    voters = leader.node.status.voters
    assert voters is not None
    with_learner = consensus.VoterSet(voters.voters, (replaced.disk.voter,))
    assert leader.node.change_voters(with_learner) is results.ResultCode.OK
    cluster.run(500)
    assert leader.node.is_caught_up(replaced.disk.voter)
    assert data_of(replaced) == [b"a"]
    remaining = tuple(v for v in voters.voters if v != old_voter)
    leader.node.change_voters(
        consensus.VoterSet(remaining, with_learner.learners)
    )
    cluster.run(500)
    expected = consensus.VoterSet((*remaining, replaced.disk.voter))
    assert leader.node.change_voters(expected) is results.ResultCode.OK
    cluster.run(500)
    assert replaced.node.status.voters == expected


def test_two_voters_cannot_change_at_once() -> None:
    _, leader = cluster_with_leader()
    single_voter = consensus.VoterSet((leader.disk.voter,))
    with pytest.raises(ValueError, match="one voter at a time"):
        leader.node.change_voters(single_voter)


def test_removed_leader_steps_down_once_its_removal_commits() -> None:
    cluster, leader = cluster_with_leader()
    voters = leader.node.status.voters
    assert voters is not None
    remaining = tuple(v for v in voters.voters if v != leader.disk.voter)
    leader.node.change_voters(consensus.VoterSet(remaining))
    cluster.run(4_000)
    (successor,) = cluster.leaders()
    assert successor is not leader
    assert leader.node.status.role is consensus.Role.FOLLOWER
