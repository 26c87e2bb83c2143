"""Random faults on a cluster of participants, checked after every step."""

from collections.abc import Callable

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from lagooncrank import model
from lagooncrank.core import consensus
from lagooncrank.core.consensus.tests import invariants
from lagooncrank.core.consensus.tests import mutations
from lagooncrank.core.consensus.tests import simulated_cluster as clusters

#: "leader" stands for the voter that leads when the rule runs.
VOTERS = strategies.sampled_from(("leader", "v0", "v1", "v2"))
HOSTS = strategies.sampled_from(("leader", "v0", "v1", "v2", "e0"))
CRASH_POINTS = strategies.sampled_from(("before_sync", "after_sync"))


class Faults(stateful.RuleBasedStateMachine):
    """A cluster from its bootstrap through random faults."""

    @stateful.initialize(seed=strategies.integers(0, 2**16))
    def start_cluster(self, seed: int) -> None:
        self.cluster = clusters.SimulatedCluster(seed)
        self.checks = invariants.Invariants(self.cluster)
        self.cluster.run(3_000)

    @stateful.rule(steps=strategies.integers(1, 30))
    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.cluster.run(clusters.STEP_MS)
            self.checks.check()

    @stateful.rule(is_unreliable=strategies.booleans())
    def change_network_conditions(self, is_unreliable: bool) -> None:
        self.cluster.network_conditions = (
            clusters.UNRELIABLE_NETWORK
            if is_unreliable
            else clusters.RELIABLE_NETWORK
        )

    @stateful.rule(sender=HOSTS, to=HOSTS)
    def block(self, sender: str, to: str) -> None:
        pair = (self._host(sender).node_id, self._host(to).node_id)
        self.cluster.blocked.add(pair)

    @stateful.rule(name=HOSTS)
    def isolate(self, name: str) -> None:
        self.cluster.isolate(self._host(name).node_id)

    @stateful.rule()
    def unblock(self) -> None:
        self.cluster.blocked.clear()

    @stateful.rule(name=HOSTS)
    def pause_or_resume(self, name: str) -> None:
        host = self._host(name)
        host.paused = not host.paused

    @stateful.rule(name=HOSTS, point=CRASH_POINTS)
    def crash(self, name: str, point: str) -> None:
        host = self._host(name)
        if host.up:
            host.process_output(crash=point)

    @stateful.rule()
    def crash_all(self) -> None:
        for host in self.cluster.hosts.values():
            if host.up:
                host.crash()

    @stateful.rule()
    def start_all(self) -> None:
        for host in self.cluster.hosts.values():
            if not host.up:
                host.start()

    @stateful.rule(name=VOTERS)
    def replace_disk(self, name: str) -> None:
        host = self._host(name)
        if self.cluster.can_replace_disk(host):
            host.crash()
            host.disk = self.cluster.new_disk(host.node_id)
            host.start()

    @stateful.rule(name=VOTERS)
    def compact(self, name: str) -> None:
        host = self._host(name)
        if host.up:
            host.compact()

    @stateful.invariant()
    def invariants_hold_over_time(self) -> None:
        if hasattr(self, "checks"):
            self.run(self.cluster.rng.choice((1, 3, 20)))

    def teardown(self) -> None:
        if not hasattr(self, "checks"):
            return
        self.cluster.clear_faults()
        self.checks.check()
        self.checks.check_settled()

    def _host(self, name: str) -> clusters.Host:
        if name == "leader":
            return self.cluster.leader()
        return self.cluster.hosts[model.NodeId(name)]


def settings(max_examples: int, steps: int) -> hypothesis.settings:
    return hypothesis.settings(
        max_examples=max_examples,
        stateful_step_count=steps,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def test_invariants_hold_under_random_faults() -> None:
    stateful.run_state_machine_as_test(Faults, settings=settings(25, 30))


@pytest.mark.parametrize("name", mutations.MUTATIONS)
def test_mutation_is_detected(name: str) -> None:
    """The random faults reveal that a safeguard was removed."""
    search = hypothesis.settings(
        settings(60, 30), phases=[hypothesis.Phase.generate]
    )
    errors = (AssertionError, consensus.CommittedEntryError)
    with mutations.mutated(name), pytest.raises(errors):
        stateful.run_state_machine_as_test(Faults, settings=search)


def idle_cluster() -> tuple[clusters.SimulatedCluster, invariants.Invariants]:
    """Returns a cluster with a leader and without any workload."""
    cluster = clusters.SimulatedCluster(seed=3)
    cluster.has_workload = False
    checks = invariants.Invariants(cluster)
    invariants.run_checked(cluster, checks, 3_000)
    return cluster, checks


def test_voter_that_receives_nothing_from_the_leader_does_not_depose_it() -> (
    None
):
    cluster, checks = idle_cluster()
    leader = cluster.leader()
    follower_id = next(n for n in cluster.voter_ids if n != leader.node_id)
    cluster.blocked.add((leader.node_id, follower_id))
    invariants.run_checked(cluster, checks, 5_000)
    assert cluster.leader() is leader


def test_replaced_disk_does_not_elect_an_outdated_candidate() -> None:
    cluster, checks = idle_cluster()
    leader = cluster.leader()
    replaced, outdated = (
        cluster.hosts[n] for n in cluster.voter_ids if n != leader.node_id
    )
    cluster.isolate(outdated.node_id)
    leader.calls.apply_declarations(0)
    invariants.run_checked(cluster, checks, 500)
    assert replaced.applier.revision == 1
    assert cluster.can_replace_disk(replaced)
    replaced.crash()
    replaced.disk = cluster.new_disk(replaced.node_id)
    replaced.start()
    cluster.blocked.clear()
    cluster.isolate(leader.node_id)
    invariants.run_checked(cluster, checks, 4_000)
    cluster.clear_faults()
    checks.check()
    checks.check_settled()
    assert outdated.applier.revision == 1


@pytest.mark.parametrize(
    ("name", "targeted_test"),
    [
        pytest.param(name, test, id=name)
        for name, test in (
            (
                "possible_leader_lease_ignored",
                test_voter_that_receives_nothing_from_the_leader_does_not_depose_it,
            ),
            (
                "replaced_disk_keeps_its_voter_identity",
                test_replaced_disk_does_not_elect_an_outdated_candidate,
            ),
        )
    ],
)
def test_mutation_is_detected_by_its_test(
    name: str, targeted_test: Callable[[], None]
) -> None:
    with mutations.mutated(name), pytest.raises(AssertionError):
        targeted_test()
