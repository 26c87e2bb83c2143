"""Disks that come back after others have been given their places."""

import pytest

from lagooncrank import model
from lagooncrank.core.consensus import _polling
from lagooncrank.core.consensus.tests import invariants
from lagooncrank.core.consensus.tests import simulated_cluster as clusters
from lagooncrank.core.consensus.tests import test_voter_replacement as base

#: Time after which an unreachable voter has been replaced.
REPLACED_AFTER_MS = 6_000


def with_successors(
    count: int,
) -> tuple[clusters.SimulatedCluster, invariants.Invariants]:
    """Returns a settled cluster of three voters, and nodes that wait."""
    cluster, checks = base.cluster_with_target_count()
    for number in range(count):
        base.add_node(cluster, f"w{number}").start()
    invariants.run_checked(cluster, checks, 2_000)
    return cluster, checks


def followers(cluster: clusters.SimulatedCluster) -> list[clusters.Host]:
    leader = cluster.leader()
    return [cluster.hosts[n] for n in cluster.voter_ids if n != leader.node_id]


def lose(host: clusters.Host) -> None:
    """Ends a host for good."""
    host.crash()


def assert_takes_writes(
    cluster: clusters.SimulatedCluster, checks: invariants.Invariants
) -> None:
    """Checks that a change is acknowledged, and applied by all that run."""
    leader = cluster.leader()
    revision = leader.applier.revision
    leader.calls.apply_declarations(revision)
    invariants.run_checked(cluster, checks, 2_000)
    running = [h for h in cluster.hosts.values() if h.is_running]
    assert {h.applier.revision for h in running} == {revision + 1}


# Guards against: a control machine that was down while another took its place
# never took part again, so that one more loss was final (review case 13).
@pytest.mark.parametrize("down_ms", [1_000, 3_500, 12_000])
def test_replaced_voter_returns_with_its_disk(down_ms: int) -> None:
    cluster, checks = with_successors(1)
    restarted, removed = followers(cluster)
    leader = cluster.leader()
    restarted.crash()
    invariants.run_checked(cluster, checks, down_ms)
    restarted.start()
    invariants.run_checked(cluster, checks, REPLACED_AFTER_MS)
    assert restarted.participant.contact_age_ms(restarted.now_ms) is not None
    lose(removed)
    invariants.run_checked(cluster, checks, 2 * REPLACED_AFTER_MS)
    assert_takes_writes(cluster, checks)
    lose(leader)
    invariants.run_checked(cluster, checks, REPLACED_AFTER_MS)
    assert_takes_writes(cluster, checks)


# Guards against: as above; the nodes that the returning disk knows are gone.
def test_replaced_voter_finds_the_others_by_its_seeds() -> None:
    cluster, checks = with_successors(3)
    restarted = followers(cluster)[0]
    restarted.crash()
    invariants.run_checked(cluster, checks, REPLACED_AFTER_MS)
    for node_id in cluster.voter_ids:
        if node_id != restarted.node_id:
            lose(cluster.hosts[node_id])
            invariants.run_checked(cluster, checks, 2 * REPLACED_AFTER_MS)
    restarted.seeds = tuple(model.NodeId(f"w{n}") for n in range(3))
    restarted.start()
    invariants.run_checked(cluster, checks, REPLACED_AFTER_MS)
    age_ms = restarted.participant.contact_age_ms(restarted.now_ms)
    assert age_ms is not None
    assert age_ms < _polling.STALE_CONTACT_AGE_MS


def test_replaced_voters_that_reach_only_each_other_elect_nobody() -> None:
    cluster, checks = with_successors(2)
    returning = followers(cluster)
    for host in returning:
        host.crash()
        invariants.run_checked(cluster, checks, 2 * REPLACED_AFTER_MS)
    assert_takes_writes(cluster, checks)
    for host in returning:
        host.start()
    names = {h.node_id for h in returning}
    for host in returning:
        for other in set(cluster.all_ids) - names:
            cluster.blocked |= {(host.node_id, other), (other, host.node_id)}
    invariants.run_checked(cluster, checks, 2 * REPLACED_AFTER_MS)
    for host in returning:
        assert host.participant.leader is None
        assert host.participant.contact_age_ms(host.now_ms) is None
    cluster.blocked.clear()
    invariants.run_checked(cluster, checks, REPLACED_AFTER_MS)
    assert_takes_writes(cluster, checks)


# Guards against: a voter that the leader cannot reach keeps its place, because
# another node passes on its requests to join.
def test_voter_that_only_the_leader_cannot_reach_is_replaced() -> None:
    cluster, checks = with_successors(1)
    cut_off = followers(cluster)[0]
    leader = cluster.leader()
    pair = (cut_off.node_id, leader.node_id)
    cluster.blocked |= {pair, pair[::-1]}
    invariants.run_checked(cluster, checks, REPLACED_AFTER_MS)
    voters = cluster.leader().participant.voters
    assert voters is not None
    assert cut_off.node_id not in {v.node_id for v in voters.voters}
