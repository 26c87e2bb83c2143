"""When a node that has just started may use the state that it has."""

import pytest

from lagooncrank import model
from lagooncrank.core import consensus
from lagooncrank.core.consensus.tests import simulated_cluster as clusters

FOLLOWER = model.NodeId("e0")
#: A state that a quorum confirmed less than this long ago is in use.
SPREAD_MS = 1_000
#: Time within which a change that was acknowledged is in use at a node that is
#: connected to a quorum.
PROPAGATION_MS = 2_000


def catch_up(host: clusters.Host) -> int:
    """Returns how long a host takes to count as caught up."""
    cluster = host.cluster
    started_ms = cluster.now_ms
    while not host.participant.has_caught_up(host.now_ms):
        cluster.run(clusters.STEP_MS)
    return cluster.now_ms - started_ms


def cut_voter_off(
    cluster: clusters.SimulatedCluster, cut_off: model.NodeId
) -> None:
    """Cuts a voter off from the other voters, but not from the follower."""
    for other in cluster.voter_ids:
        cluster.blocked |= {(cut_off, other), (other, cut_off)}


# Guards against: an entry that started beside a control node without quorum
# took that node's state for the newest, and used an older document.
@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("position", range(3))
def test_started_node_uses_no_state_older_than_its_start(
    position: int, seed: int
) -> None:
    cluster = clusters.SimulatedCluster(seed)
    cluster.run(3_000)
    cut_voter_off(cluster, cluster.voter_ids[position])
    cluster.run(4_000)
    host = cluster.hosts[FOLLOWER]
    acknowledged = cluster.acknowledged_revision
    assert acknowledged, "the quorum has accepted changes"
    cluster.run(SPREAD_MS)
    host.crash()
    host.start()
    assert catch_up(host) <= PROPAGATION_MS
    assert host.applier.revision >= acknowledged


# Guards against: after a restart of all nodes an older document was used first.
@pytest.mark.parametrize("seed", range(12))
def test_no_node_uses_an_older_state_after_a_restart_of_all(seed: int) -> None:
    cluster = clusters.SimulatedCluster(seed)
    cluster.run(5_000)
    acknowledged = cluster.acknowledged_revision
    assert acknowledged, "the quorum has accepted changes"
    for host in cluster.hosts.values():
        host.crash()
    for host in cluster.hosts.values():
        host.start()
    for host in cluster.hosts.values():
        catch_up(host)
        assert host.applier.revision >= acknowledged


# Guards against: a change was not in use in time at a follower whose voter was
# cut off from the others.
@pytest.mark.parametrize("seed", range(12))
def test_change_spreads_in_time_past_a_voter_that_is_cut_off(
    seed: int,
) -> None:
    cluster = clusters.SimulatedCluster(seed)
    cluster.run(3_000)
    cut_voter_off(cluster, cluster.voter_ids[seed % 3])
    cluster.run(4_000)
    follower = cluster.hosts[FOLLOWER].applier
    for _ in range(20):
        acknowledged = cluster.acknowledged_revision
        cluster.run(PROPAGATION_MS)
        assert follower.revision >= acknowledged


def test_node_without_any_quorum_uses_what_it_knows_after_a_wait() -> None:
    cluster = clusters.SimulatedCluster(1)
    cluster.run(5_000)
    for voter in cluster.voter_ids:
        cut_voter_off(cluster, voter)
    cluster.run(4_000)
    host = cluster.hosts[FOLLOWER]
    host.crash()
    host.start()
    waited_ms = catch_up(host)
    assert waited_ms >= consensus.STALE_START_WAIT_MS
    assert waited_ms <= consensus.STALE_START_WAIT_MS + PROPAGATION_MS
    assert host.applier.revision
