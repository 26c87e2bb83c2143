"""Generates the failures of one simulated day from a seed."""

from collections.abc import Iterator
import dataclasses
import enum
import random

DAY_MS = 86_400_000
MS_PER_MINUTE = 60_000
#: Probability that the neighbour of a failed instance fails soon after it.
NEIGHBOUR_LOSS_PROBABILITY = 0.2


class EngineAction(enum.StrEnum):
    """Change that a failure, or its end, makes to an engine."""

    STOP = "stop"
    START = "start"
    PAUSE = "pause"
    RESUME = "resume"


@dataclasses.dataclass(frozen=True, slots=True)
class FailureEvent:
    """Start or end of a failure."""

    #: Time since the start of the day.
    at_ms: int
    action: EngineAction
    #: Indexes of the affected engines.
    engine_indexes: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FailurePlan:
    """Size of the fleet, and the number of failures of each kind in a day."""

    #: Instances in each fabric domain.
    instances_per_domain: tuple[int, ...]
    #: Failures of one instance for 1 to 10 hours, perhaps past the day's end.
    long_outages: int
    #: Restarts or replacements of one instance within minutes.
    restarts: int
    #: Pauses of one instance for seconds.
    pauses: int
    #: Failures of a whole rack for half an hour.
    rack_outages: int
    instances_per_rack: int
    #: Pauses of a whole fabric domain for minutes. Engines keep their weights.
    domain_outages: int
    #: Instances that restart repeatedly for an hour.
    flapping_instances: int


def generate_events(plan: FailurePlan, seed: int) -> list[FailureEvent]:
    """Returns the events of one day, ordered by time.

    The same plan and seed always yield the same events, so that placement
    policies can be compared.
    """
    generated = list(_generate(plan, random.Random(seed)))
    return sorted(generated, key=lambda e: (e.at_ms, e.engine_indexes))


def _generate(plan: FailurePlan, rng: random.Random) -> Iterator[FailureEvent]:
    yield from _instance_failures(plan, rng)
    yield from _group_failures(plan, rng)
    for _ in range(plan.flapping_instances):
        yield from _restart_loop(
            rng, rng.randrange(sum(plan.instances_per_domain))
        )


def _instance_failures(
    plan: FailurePlan, rng: random.Random
) -> Iterator[FailureEvent]:
    count = sum(plan.instances_per_domain)
    for _ in range(plan.long_outages):
        engine = rng.randrange(count)
        at_ms = _random_time_ms(rng)
        outage_ms = rng.randrange(60, 600) * MS_PER_MINUTE
        yield from _outage(at_ms, (engine,), outage_ms, EngineAction.STOP)
        if rng.random() < NEIGHBOUR_LOSS_PROBABILITY:
            yield from _neighbour_outage(rng, at_ms, engine, count)
    for _ in range(plan.restarts):
        outage_ms = rng.randrange(30_000, 10 * MS_PER_MINUTE)
        engine = rng.randrange(count)
        yield from _outage(
            _random_time_ms(rng), (engine,), outage_ms, EngineAction.STOP
        )
    for _ in range(plan.pauses):
        outage_ms = rng.randrange(3_000, 40_000)
        engine = rng.randrange(count)
        yield from _outage(
            _random_time_ms(rng), (engine,), outage_ms, EngineAction.PAUSE
        )


def _group_failures(
    plan: FailurePlan, rng: random.Random
) -> Iterator[FailureEvent]:
    count = sum(plan.instances_per_domain)
    for _ in range(plan.rack_outages):
        first = rng.randrange(count - plan.instances_per_rack)
        rack = tuple(range(first, first + plan.instances_per_rack))
        outage_ms = 30 * MS_PER_MINUTE
        yield from _outage(
            _random_time_ms(rng), rack, outage_ms, EngineAction.STOP
        )
    for _ in range(plan.domain_outages):
        domain = rng.randrange(len(plan.instances_per_domain))
        start = sum(plan.instances_per_domain[:domain])
        engine_indexes = tuple(
            range(start, start + plan.instances_per_domain[domain])
        )
        outage_ms = rng.randrange(5, 20) * MS_PER_MINUTE
        yield from _outage(
            _random_time_ms(rng), engine_indexes, outage_ms, EngineAction.PAUSE
        )


def _random_time_ms(rng: random.Random) -> int:
    return rng.randrange(10 * MS_PER_MINUTE, DAY_MS)


def _outage(
    at_ms: int,
    engine_indexes: tuple[int, ...],
    outage_ms: int,
    action: EngineAction,
) -> Iterator[FailureEvent]:
    recovery = (
        EngineAction.START
        if action is EngineAction.STOP
        else EngineAction.RESUME
    )
    yield FailureEvent(at_ms, action, engine_indexes)
    yield FailureEvent(at_ms + outage_ms, recovery, engine_indexes)


def _neighbour_outage(
    rng: random.Random, first_ms: int, engine: int, count: int
) -> Iterator[FailureEvent]:
    neighbour = min(engine + 1, count - 1)
    at_ms = first_ms + rng.randrange(1, 5) * MS_PER_MINUTE
    outage_ms = rng.randrange(5, 60) * MS_PER_MINUTE
    yield from _outage(at_ms, (neighbour,), outage_ms, EngineAction.STOP)


def _restart_loop(rng: random.Random, engine: int) -> Iterator[FailureEvent]:
    first_ms = _random_time_ms(rng)
    for restart in range(20):
        at_ms = first_ms + restart * 3 * MS_PER_MINUTE
        yield from _outage(at_ms, (engine,), MS_PER_MINUTE, EngineAction.STOP)
