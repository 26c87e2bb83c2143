"""Random series of changes to control nodes, within what may be lost at a time.

`python -m lagooncrank.core.consensus.tests.control_series --seeds 1000` plays
series on the simulated cluster, and prints the shortest steps of a failure.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import enum
import random
from typing import Final

import typer

from lagooncrank import model
from lagooncrank.core.consensus.tests import invariants
from lagooncrank.core.consensus.tests import simulated_cluster as clusters

#: Time for which a machine also counts as lost after it is back or started.
CATCH_UP_MS: Final = 4_000
#: Time after the last event in which a change must be acknowledged.
RECOVERY_MS: Final = 12_000
#: Machines that the deployment consists of, and of which one may be lost.
DECLARED_MACHINES: Final = 3
MAX_LOST: Final = 1
MAX_MACHINES: Final = 7
MAX_STEPS: Final = 14
GAPS_MS: Final = (0, 50, 300, 1_000, 2_000, 4_500, 10_000)
OUTAGES_MS: Final = (500, 1_000, 2_000, 3_500, 6_000)
WRITE_INTERVAL_MS: Final = 500


class Change(enum.StrEnum):
    """What is done to a machine."""

    ADD = "add"
    STOP = "stop"
    KILL = "kill"
    RESTART = "restart"
    CRASH = "crash"
    LOSE_DISK = "lose_disk"
    PAUSE = "pause"
    CUT = "cut"


#: Changes after which the machine is back by itself.
OUTAGES: Final = (Change.CRASH, Change.LOSE_DISK, Change.PAUSE, Change.CUT)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One change; it is left out if too much would be lost at a time."""

    gap_ms: int
    change: Change
    #: Selects the machine among those that are present.
    choice: int
    outage_ms: int


def draw_steps(seed: int) -> tuple[Step, ...]:
    """Returns the steps of a series."""
    rng = random.Random(seed)
    kinds = [*Change, Change.ADD, Change.STOP]
    return tuple(
        Step(
            rng.choice(GAPS_MS),
            rng.choice(kinds),
            rng.randrange(1_000),
            rng.choice(OUTAGES_MS),
        )
        for _ in range(rng.randint(3, MAX_STEPS))
    )


@dataclasses.dataclass(slots=True)
class Machine:
    """A machine as the operators see it."""

    host: clusters.Host
    #: When it counts as sound again; None while it is down.
    sound_from_ms: int | None
    #: Whether it has been sound before, so that it counts as lost if it is not.
    is_settled: bool = False
    #: When an outage ends.
    back_at_ms: int | None = None
    outage: Change | None = None
    is_stopping: bool = False
    starts_again: bool = False

    def is_sound(self, now_ms: int) -> bool:
        """Whether it runs, and has had its time since its start or return."""
        return self.sound_from_ms is not None and now_ms >= self.sound_from_ms


class LossModel:
    """Which changes are allowed while how many machines are lost.

    A machine that was lost for good counts for as long as a new one. The pages
    count it for none if its successor has run before; three voters cannot
    survive that (`docs/design/voter-set.md`).
    """

    def __init__(self) -> None:
        self.machines: list[Machine] = []
        #: Until when machines that were killed for good count as lost.
        self._killed_until_ms: list[int] = []

    def record_killed(self, machine: Machine, now_ms: int) -> None:
        """Removes a machine that was killed for good."""
        self.machines.remove(machine)
        self._killed_until_ms.append(now_ms + CATCH_UP_MS)

    def allows(self, change: Change, machine: Machine, now_ms: int) -> bool:
        """Whether a change keeps to what may be lost at a time."""
        if change is Change.ADD:
            return len(self.machines) < MAX_MACHINES
        if machine.back_at_ms is not None or machine.is_stopping:
            return False
        others = [m for m in self.machines if m is not machine]
        lost = sum(1 for until_ms in self._killed_until_ms if until_ms > now_ms)
        lost += sum(
            1
            for m in others
            if m.is_stopping or (m.is_settled and not m.is_sound(now_ms))
        )
        sound = sum(
            1 for m in others if m.is_sound(now_ms) and not m.is_stopping
        )
        vacant = max(0, DECLARED_MACHINES - sound)
        if change is Change.STOP and not vacant:
            return lost <= MAX_LOST
        return max(lost + 1, vacant) <= MAX_LOST


class Series:
    """Plays steps on a simulated cluster."""

    def __init__(self, seed: int) -> None:
        self._cluster = clusters.SimulatedCluster(seed)
        self._cluster.target_voter_count = DECLARED_MACHINES
        self._cluster.has_workload = False
        self._checks = invariants.Invariants(self._cluster)
        self._model = LossModel()
        self._added = 0
        self._next_write_ms = 0
        for node_id in self._cluster.voter_ids:
            host = self._cluster.hosts[node_id]
            host.seeds = self._cluster.voter_ids
            host.start()
            self._model.machines.append(Machine(host, 0, is_settled=True))
        self._cluster.hosts[model.NodeId("e0")].start()
        #: Steps that were allowed.
        self.played: list[Step] = []
        self._run(5_000)

    def play(self, steps: Sequence[Step]) -> None:
        """Plays the steps that are allowed, and checks what they leave.

        Raises:
            AssertionError: An invariant is violated, or no change is
                acknowledged in time.
        """
        for step in steps:
            self._run(step.gap_ms)
            self._try(step)
        while any(
            m.back_at_ms is not None or m.is_stopping
            for m in self._model.machines
        ):
            self._run(clusters.STEP_MS)
        before = self._cluster.acknowledged_revision
        self._run(RECOVERY_MS)
        after = self._cluster.acknowledged_revision
        assert after > before, "no change is acknowledged after the last event"
        self._run(1_000)
        for machine in self._model.machines:
            revision = machine.host.applier.revision
            assert revision >= after, (
                f"{machine.host.node_id} has revision {revision} of {after}"
            )

    def _try(self, step: Step) -> None:
        now_ms = self._cluster.now_ms
        machines = self._model.machines
        machine = machines[step.choice % len(machines)]
        if not self._model.allows(step.change, machine, now_ms):
            return
        self.played.append(step)
        match step.change:
            case Change.ADD:
                self._add(step.choice)
            case Change.STOP | Change.RESTART:
                machine.is_stopping = True
                machine.starts_again = step.change is Change.RESTART
                machine.host.participant.leave(machine.host.now_ms)
                machine.host.process_output()
            case Change.KILL:
                machine.host.crash()
                self._model.record_killed(machine, now_ms)
            case _:
                self._begin_outage(machine, step)

    def _add(self, choice: int) -> None:
        """Starts a machine with an empty disk and three listed seeds."""
        cluster = self._cluster
        seeds = self._listed(choice)
        node_id = model.NodeId(f"w{self._added}")
        self._added += 1
        cluster.all_ids = (*cluster.all_ids, node_id)
        host = clusters.Host(cluster, node_id, cluster.new_disk(node_id))
        host.seeds = seeds
        host.start()
        cluster.hosts[node_id] = host
        self._model.machines.append(Machine(host, cluster.now_ms + CATCH_UP_MS))

    def _listed(self, choice: int) -> tuple[model.NodeId, ...]:
        """Returns three machines of the list, as settings name them now."""
        listed = [m.host.node_id for m in self._model.machines]
        return tuple(random.Random(choice).sample(listed, min(3, len(listed))))

    def _start(self, host: clusters.Host) -> None:
        host.seeds = self._listed(host.incarnation)
        host.start()

    def _begin_outage(self, machine: Machine, step: Step) -> None:
        machine.sound_from_ms = None
        machine.outage = step.change
        machine.back_at_ms = self._cluster.now_ms + step.outage_ms
        match step.change:
            case Change.PAUSE:
                machine.host.paused = True
            case Change.CUT:
                self._cluster.isolate(machine.host.node_id)
            case _:
                machine.host.crash()

    def _end_outage(self, machine: Machine) -> None:
        host = machine.host
        match machine.outage:
            case Change.PAUSE:
                host.paused = False
            case Change.CUT:
                self._cluster.blocked = {
                    pair
                    for pair in self._cluster.blocked
                    if host.node_id not in pair
                }
            case Change.LOSE_DISK:
                host.disk = self._cluster.new_disk(host.node_id)
                self._start(host)
            case _:
                self._start(host)
        machine.back_at_ms = None
        machine.sound_from_ms = self._cluster.now_ms + CATCH_UP_MS

    def _run(self, duration_ms: int) -> None:
        for _ in range(0, duration_ms, clusters.STEP_MS):
            self._cluster.run(clusters.STEP_MS)
            self._checks.check()
            self._advance_machines()
            self._write_if_due()

    def _advance_machines(self) -> None:
        now_ms = self._cluster.now_ms
        for machine in list(self._model.machines):
            if machine.back_at_ms is not None and now_ms >= machine.back_at_ms:
                self._end_outage(machine)
            if machine.is_sound(now_ms):
                machine.is_settled = True
            host = machine.host
            if machine.is_stopping and host.participant.may_stop(host.now_ms):
                self._end_stop(machine)

    def _end_stop(self, machine: Machine) -> None:
        machine.host.crash()
        machine.is_stopping = False
        if not machine.starts_again:
            self._model.machines.remove(machine)
            return
        self._start(machine.host)
        machine.starts_again = False
        machine.sound_from_ms = self._cluster.now_ms + CATCH_UP_MS

    def _write_if_due(self) -> None:
        if self._cluster.now_ms < self._next_write_ms:
            return
        self._next_write_ms = self._cluster.now_ms + WRITE_INTERVAL_MS
        leader = self._cluster.leader()
        if leader.is_running and leader.participant.leader == leader.node_id:
            leader.calls.apply_declarations(leader.applier.revision)


def find_failure(seed: int, steps: Sequence[Step]) -> str | None:
    """Plays steps; returns what went wrong, if anything."""
    try:
        Series(seed).play(steps)
    except AssertionError as error:
        return str(error) or "assertion"
    return None


def shrink(seed: int, steps: Sequence[Step]) -> tuple[Step, ...]:
    """Returns steps that still fail, without those that may be left out."""
    for position in range(len(steps)):
        shorter = (*steps[:position], *steps[position + 1 :])
        if find_failure(seed, shorter):
            return shrink(seed, shorter)
    return tuple(steps)


def failures(first: int, count: int) -> Iterator[tuple[int, str]]:
    """Yields the seeds of series that fail, and what went wrong."""
    for seed in range(first, first + count):
        problem = find_failure(seed, draw_steps(seed))
        if problem is not None:
            yield seed, problem


def main(first: int = 0, seeds: int = 100, most: int = 3) -> None:
    """Plays series, and prints the shortest steps of those that fail."""
    found = 0
    for seed, problem in failures(first, seeds):
        found += 1
        typer.echo(f"seed {seed}: {problem}")
        if found <= most:
            for step in shrink(seed, draw_steps(seed)):
                typer.echo(f"  {step}")
    typer.echo(f"{found} of {seeds} series failed")


if __name__ == "__main__":
    typer.run(main)
