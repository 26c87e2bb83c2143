"""Replacement of unreachable voters by joining nodes, and of lost disks."""

import pytest

from lagooncrank import model
from lagooncrank.core import consensus
from lagooncrank.core.consensus import _bootstrap
from lagooncrank.core.consensus import _voter_changes
from lagooncrank.core.consensus.tests import invariants
from lagooncrank.core.consensus.tests import simulated_cluster as clusters


def voter(name: str) -> consensus.Voter:
    return consensus.Voter(model.NodeId(name[0]), name)


A, B, C, C2, D, E = (voter(n) for n in ("a1", "b1", "c1", "c2", "d1", "e1"))
THREE_VOTERS = consensus.VoterSet((A, B, C))


def with_learners(*learners: consensus.Voter) -> consensus.VoterSet:
    return consensus.VoterSet((A, B, C), learners)


CASES = {
    "all_voters_responsive": (THREE_VOTERS, set(), 3, "abc"),
    "unreachable_voter_is_kept_without_a_replacement": (
        THREE_VOTERS,
        {C},
        3,
        "abc",
    ),
    "responsive_voters_are_kept": (with_learners(D), set(), 3, "abc"),
    "unreachable_voter_is_replaced": (with_learners(D), {C}, 3, "abd"),
    "new_disk_of_an_unreachable_voter_replaces_it": (
        with_learners(C2),
        {C},
        3,
        "abc",
    ),
    "vacancies_are_filled": (with_learners(D, E), set(), 5, "abcde"),
    "learner_replaces_an_unreachable_voter": (with_learners(D), {C}, 3, "abd"),
}


@pytest.mark.parametrize(
    ("current", "lost", "target_count", "expected"),
    CASES.values(),
    ids=CASES.keys(),
)
def test_selected_voters(
    current: consensus.VoterSet,
    lost: set[consensus.Voter],
    target_count: int,
    expected: str,
) -> None:
    seen = _voter_changes.Observations(lost=frozenset(lost))
    selected = _voter_changes.Goal(target_count).select(current, seen)
    assert {v.node_id for v in selected} == set(expected)


def cluster_with_target_count(
    target_voter_count: int = 3,
) -> tuple[clusters.SimulatedCluster, invariants.Invariants]:
    cluster = clusters.SimulatedCluster(seed=3)
    cluster.target_voter_count = target_voter_count
    cluster.has_workload = False
    for host in cluster.hosts.values():
        host.start()
    checks = invariants.Invariants(cluster)
    invariants.run_checked(cluster, checks, 3_000)
    return cluster, checks


def add_node(cluster: clusters.SimulatedCluster, name: str) -> clusters.Host:
    node_id = model.NodeId(name)
    cluster.all_ids = (*cluster.all_ids, node_id)
    host = clusters.Host(cluster, node_id, cluster.new_disk(node_id))
    cluster.hosts[node_id] = host
    return host


def voters_of(host: clusters.Host) -> set[model.NodeId]:
    voters = host.participant.voters
    assert voters is not None
    return {v.node_id for v in voters.voters}


def test_node_at_a_new_address_replaces_a_crashed_voter() -> None:
    cluster, checks = cluster_with_target_count()
    crashed = cluster.hosts[cluster.voter_ids[0]]
    leader = cluster.leader()
    leader.calls.apply_declarations(0)
    invariants.run_checked(cluster, checks, 500)
    crashed.crash()
    replacement = add_node(cluster, "w0")
    invariants.run_checked(cluster, checks, 12_000)
    assert voters_of(replacement) == {
        *cluster.voter_ids[1:],
        replacement.node_id,
    }
    assert replacement.applier.revision == 1


def test_second_loss_after_a_replacement_is_tolerated() -> None:
    cluster, checks = cluster_with_target_count()
    cluster.hosts[cluster.voter_ids[0]].crash()
    replacement = add_node(cluster, "w0")
    invariants.run_checked(cluster, checks, 12_000)
    cluster.hosts[cluster.voter_ids[1]].crash()
    invariants.run_checked(cluster, checks, 4_000)
    last = cluster.hosts[cluster.voter_ids[2]]
    last.calls.apply_declarations(0)
    invariants.run_checked(cluster, checks, 2_000)
    assert replacement.applier.revision == last.applier.revision == 1


def test_two_lost_disks_are_tolerated_during_a_full_power_loss() -> None:
    """Three initial voters are extended to five, to tolerate two lost disks."""
    cluster, checks = cluster_with_target_count(target_voter_count=5)
    for name in ("w3", "w4"):
        add_node(cluster, name).start()
    invariants.run_checked(cluster, checks, 5_000)
    leader = cluster.leader()
    assert len(voters_of(leader)) == 5
    leader.calls.apply_declarations(0)
    invariants.run_checked(cluster, checks, 500)
    hosts = [cluster.hosts[n] for n in sorted(voters_of(leader))]
    for host in hosts:
        host.crash()
    for host in hosts[:2]:
        host.disk = cluster.new_disk(host.node_id)
    invariants.run_checked(cluster, checks, 500)
    for host in hosts:
        host.start()
    invariants.run_checked(cluster, checks, 5_000)
    assert {h.applier.revision for h in hosts} == {1}


def test_temporarily_isolated_voter_is_not_replaced() -> None:
    cluster, checks = cluster_with_target_count()
    follower = next(
        n for n in cluster.voter_ids if n != cluster.leader().node_id
    )
    cluster.isolate(follower)
    invariants.run_checked(cluster, checks, 8_000)
    cluster.clear_faults()
    invariants.run_checked(cluster, checks, 3_000)
    assert voters_of(cluster.leader()) == set(cluster.voter_ids)


def test_uninitialized_disk_does_not_bootstrap_a_running_system() -> None:
    bootstrap = _bootstrap.Bootstrap(
        A, (A.node_id, B.node_id), may_bootstrap=False
    )
    bootstrap.on_reply(consensus.BootstrapReply(B, None))
    assert bootstrap.initial_voters(None) is None


def test_node_with_other_seeds_receives_the_voters_but_does_not_bootstrap() -> (
    None
):
    bootstrap = _bootstrap.Bootstrap(A, (A.node_id, B.node_id, C.node_id))
    request = consensus.BootstrapRequest(D, (B.node_id, C.node_id, D.node_id))
    assert bootstrap.reply_to(request, None) is None
    assert bootstrap.reply_to(
        request, THREE_VOTERS
    ) == consensus.BootstrapReply(A, THREE_VOTERS)


#: Longest time for which a voter may be missing while its disk is replaced; the
#: loss of another disk is not tolerated during this time.
MAX_VACANCY_MS = 300


@pytest.mark.parametrize("position", range(3))
def test_disk_replacement_completes_with_a_short_vacancy(position: int) -> None:
    cluster, checks = cluster_with_target_count()
    host = cluster.hosts[cluster.voter_ids[position]]
    host.crash()
    host.disk = cluster.new_disk(host.node_id)
    invariants.run_checked(cluster, checks, 500)
    host.start()
    vacancy_ms = 0
    for _ in range(0, 4_000, clusters.STEP_MS):
        invariants.run_checked(cluster, checks, clusters.STEP_MS)
        if len(voters_of(cluster.leader())) < 3:
            vacancy_ms += clusters.STEP_MS
    assert vacancy_ms <= MAX_VACANCY_MS
    voters = cluster.leader().participant.voters
    assert voters is not None
    assert host.disk.voter in voters.voters
