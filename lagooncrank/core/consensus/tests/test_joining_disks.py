"""Disks that join through nodes which do not lead."""

import pytest

from lagooncrank.core.consensus.tests import invariants
from lagooncrank.core.consensus.tests import simulated_cluster as clusters
from lagooncrank.core.consensus.tests import test_voter_replacement as base

#: Time after which an unreachable voter has been replaced.
REPLACED_AFTER_MS = 6_000


def add_through_followers(
    cluster: clusters.SimulatedCluster, name: str
) -> clusters.Host:
    """Adds a node whose seeds are up to three nodes that do not lead."""
    leader = cluster.leader()
    others = [
        h.node_id
        for h in cluster.hosts.values()
        if h.disk is not None and h.is_running and h is not leader
    ]
    host = base.add_node(cluster, name)
    host.seeds = tuple(others[-3:])
    host.start()
    return host


# Guards against: a control machine whose seeds did not include the leader never
# joined, so that a later loss was final (review case 12).
@pytest.mark.parametrize("machines", [4, 5, 6])
def test_disk_joins_through_any_node(machines: int) -> None:
    cluster, checks = base.cluster_with_target_count()
    for number in range(3, machines):
        add_through_followers(cluster, f"w{number}")
        invariants.run_checked(cluster, checks, 1_000)
    for _ in range(3, machines):
        voters = [cluster.hosts[n] for n in base.voters_of(cluster.leader())]
        lost = next(h for h in voters if h is not cluster.leader())
        lost.crash()
        invariants.run_checked(cluster, checks, 2 * REPLACED_AFTER_MS)
        leader = cluster.leader()
        assert len(base.voters_of(leader)) == 3
        assert lost.node_id not in base.voters_of(leader)


# Guards against: as above, while there is no leader for some seconds.
def test_disk_joins_after_a_time_without_leader() -> None:
    cluster, checks = base.cluster_with_target_count()
    leader = cluster.leader()
    host = add_through_followers(cluster, "w3")
    leader.crash()
    invariants.run_checked(cluster, checks, 2 * REPLACED_AFTER_MS)
    assert host.node_id in base.voters_of(cluster.leader())
