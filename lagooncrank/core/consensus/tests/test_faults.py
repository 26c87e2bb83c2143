"""Generated faults over whole participants, checked after every step."""

from collections.abc import Callable

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from lagooncrank import model
from lagooncrank.core import consensus
from lagooncrank.core.consensus.tests import guards
from lagooncrank.core.consensus.tests import invariants
from lagooncrank.core.consensus.tests import world as worlds

#: "leader" stands for whichever voter leads when the rule runs.
VOTERS = strategies.sampled_from(("leader", "v0", "v1", "v2"))
HOSTS = strategies.sampled_from(("leader", "v0", "v1", "v2", "e0"))
CRASH_POINTS = strategies.sampled_from(("before_sync", "after_sync"))


class Faults(stateful.RuleBasedStateMachine):
    """A system from its first start through any faults."""

    @stateful.initialize(seed=strategies.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        self.world = worlds.World(seed)
        self.checks = invariants.Invariants(self.world)
        self.world.run(3_000)

    @stateful.rule(steps=strategies.integers(1, 30))
    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.world.run(worlds.STEP_MS)
            self.checks.check()

    @stateful.rule(rough=strategies.booleans())
    def change_weather(self, rough: bool) -> None:
        self.world.weather = worlds.ROUGH if rough else worlds.CALM

    @stateful.rule(sender=HOSTS, to=HOSTS)
    def block(self, sender: str, to: str) -> None:
        pair = (self._host(sender).node_id, self._host(to).node_id)
        self.world.blocked.add(pair)

    @stateful.rule(name=HOSTS)
    def isolate(self, name: str) -> None:
        self.world.isolate(self._host(name).node_id)

    @stateful.rule()
    def unblock(self) -> None:
        self.world.blocked.clear()

    @stateful.rule(name=HOSTS)
    def pause_or_resume(self, name: str) -> None:
        host = self._host(name)
        host.paused = not host.paused

    @stateful.rule(name=HOSTS, point=CRASH_POINTS)
    def crash(self, name: str, point: str) -> None:
        host = self._host(name)
        if host.up:
            host.pump(crash=point)

    @stateful.rule()
    def crash_all(self) -> None:
        for host in self.world.hosts.values():
            if host.up:
                host.crash()

    @stateful.rule()
    def start_all(self) -> None:
        for host in self.world.hosts.values():
            if not host.up:
                host.start()

    @stateful.rule(name=VOTERS)
    def replace_disk(self, name: str) -> None:
        host = self._host(name)
        if self.world.may_replace(host):
            host.crash()
            host.disk = self.world.new_disk(host.node_id)
            host.start()

    @stateful.rule(name=VOTERS)
    def compact(self, name: str) -> None:
        host = self._host(name)
        if host.up:
            host.compact()

    @stateful.invariant()
    def holds_while_time_passes(self) -> None:
        if hasattr(self, "checks"):
            self.run(self.world.rng.choice((1, 3, 20)))

    def teardown(self) -> None:
        if not hasattr(self, "checks"):
            return
        self.world.heal()
        self.checks.check()
        self.checks.check_settled()

    def _host(self, name: str) -> worlds.Host:
        if name == "leader":
            return self.world.leader()
        return self.world.hosts[model.NodeId(name)]


def settings(max_examples: int, steps: int) -> hypothesis.settings:
    return hypothesis.settings(
        max_examples=max_examples,
        stateful_step_count=steps,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def test_invariants_hold_through_any_faults() -> None:
    stateful.run_state_machine_as_test(Faults, settings=settings(25, 30))


@pytest.mark.parametrize("name", guards.MUTANTS)
def test_missing_guard_is_found(name: str) -> None:
    """The same machine and checks fail once a guard is taken out."""
    search = hypothesis.settings(
        settings(60, 30), phases=[hypothesis.Phase.generate]
    )
    found = (AssertionError, consensus.CommittedEntryError)
    with guards.without(name), pytest.raises(found):
        stateful.run_state_machine_as_test(Faults, settings=search)


def quiet_world() -> tuple[worlds.World, invariants.Invariants]:
    """A world with a leader, in which nothing else happens."""
    world = worlds.World(seed=3)
    world.is_used = False
    checks = invariants.Invariants(world)
    invariants.run_checked(world, checks, 3_000)
    return world, checks


def test_voter_that_cannot_hear_the_leader_does_not_depose_it() -> None:
    world, checks = quiet_world()
    leader = world.leader()
    deaf = next(n for n in world.voter_ids if n != leader.node_id)
    world.blocked.add((leader.node_id, deaf))
    invariants.run_checked(world, checks, 5_000)
    assert world.leader() is leader


def test_replaced_disk_does_not_help_an_old_log_to_lead() -> None:
    world, checks = quiet_world()
    leader = world.leader()
    replaced, behind = (
        world.hosts[n] for n in world.voter_ids if n != leader.node_id
    )
    world.isolate(behind.node_id)
    leader.calls.change(0)
    invariants.run_checked(world, checks, 500)
    assert replaced.applier.revision == 1
    assert world.may_replace(replaced)
    replaced.crash()
    replaced.disk = world.new_disk(replaced.node_id)
    replaced.start()
    world.blocked.clear()
    world.isolate(leader.node_id)
    invariants.run_checked(world, checks, 4_000)
    world.heal()
    checks.check()
    checks.check_settled()
    assert behind.applier.revision == 1


@pytest.mark.parametrize(
    ("name", "directed_test"),
    [
        pytest.param(name, test, id=name)
        for name, test in (
            (
                "promise_to_the_leader_ignored",
                test_voter_that_cannot_hear_the_leader_does_not_depose_it,
            ),
            (
                "replaced_disk_votes_as_before",
                test_replaced_disk_does_not_help_an_old_log_to_lead,
            ),
        )
    ],
)
def test_missing_guard_is_found_by_its_test(
    name: str, directed_test: Callable[[], None]
) -> None:
    with guards.without(name), pytest.raises(AssertionError):
        directed_test()
