"""Generates the failures of one day, the same for every policy."""

from collections.abc import Iterator
import dataclasses
import enum
import random

DAY_MS = 86_400_000
MS_PER_MINUTE = 60_000
#: Chance that a neighbour is lost within minutes of a failed instance.
SECOND_LOSS_PROBABILITY = 0.2


class Failure(enum.StrEnum):
    """What strikes an instance or a group of instances."""

    STOP = "stop"
    START = "start"
    PAUSE = "pause"
    RESUME = "resume"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A failure, or its end, at one moment of the day."""

    at_ms: int
    failure: Failure
    #: Indexes of the engines that it strikes.
    engines: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FailurePlan:
    """Sizes of one generated day."""

    #: Instances in each fabric domain.
    domains: tuple[int, ...]
    #: Instances that fail and come back after hours, if at all.
    long_outages: int
    #: Instances that are restarted or replaced within minutes.
    restarts: int
    #: Instances that stand still for seconds.
    pauses: int
    #: Racks lost for half an hour, and how many instances each has.
    rack_outages: int
    rack_size: int
    #: Whole fabric domains that go dark for minutes, weights kept.
    domain_outages: int
    #: Instances that restart again and again for an hour.
    flapping_instances: int


def events(plan: FailurePlan, seed: int) -> list[Event]:
    """Returns the failures of a day in the order of time."""
    generated = list(_events(plan, random.Random(seed)))
    return sorted(generated, key=lambda e: (e.at_ms, e.engines))


def _events(plan: FailurePlan, rng: random.Random) -> Iterator[Event]:
    yield from _single_failures(plan, rng)
    yield from _group_failures(plan, rng)
    for _ in range(plan.flapping_instances):
        yield from _flapping(rng, rng.randrange(sum(plan.domains)))


def _single_failures(plan: FailurePlan, rng: random.Random) -> Iterator[Event]:
    count = sum(plan.domains)
    for _ in range(plan.long_outages):
        engine = rng.randrange(count)
        at_ms = _moment(rng)
        away_ms = rng.randrange(60, 600) * MS_PER_MINUTE
        yield from _outage(at_ms, (engine,), away_ms, Failure.STOP)
        if rng.random() < SECOND_LOSS_PROBABILITY:
            yield from _second_loss(rng, at_ms, engine, count)
    for _ in range(plan.restarts):
        away_ms = rng.randrange(30_000, 10 * MS_PER_MINUTE)
        engine = rng.randrange(count)
        yield from _outage(_moment(rng), (engine,), away_ms, Failure.STOP)
    for _ in range(plan.pauses):
        away_ms = rng.randrange(3_000, 40_000)
        engine = rng.randrange(count)
        yield from _outage(_moment(rng), (engine,), away_ms, Failure.PAUSE)


def _group_failures(plan: FailurePlan, rng: random.Random) -> Iterator[Event]:
    count = sum(plan.domains)
    for _ in range(plan.rack_outages):
        first = rng.randrange(count - plan.rack_size)
        rack = tuple(range(first, first + plan.rack_size))
        away_ms = 30 * MS_PER_MINUTE
        yield from _outage(_moment(rng), rack, away_ms, Failure.STOP)
    for _ in range(plan.domain_outages):
        domain = rng.randrange(len(plan.domains))
        start = sum(plan.domains[:domain])
        engines = tuple(range(start, start + plan.domains[domain]))
        away_ms = rng.randrange(5, 20) * MS_PER_MINUTE
        yield from _outage(_moment(rng), engines, away_ms, Failure.PAUSE)


def _moment(rng: random.Random) -> int:
    return rng.randrange(10 * MS_PER_MINUTE, DAY_MS)


def _outage(
    at_ms: int, engines: tuple[int, ...], away_ms: int, failure: Failure
) -> Iterator[Event]:
    end = Failure.START if failure is Failure.STOP else Failure.RESUME
    yield Event(at_ms, failure, engines)
    yield Event(at_ms + away_ms, end, engines)


def _second_loss(
    rng: random.Random, first_ms: int, engine: int, count: int
) -> Iterator[Event]:
    neighbour = min(engine + 1, count - 1)
    at_ms = first_ms + rng.randrange(1, 5) * MS_PER_MINUTE
    away_ms = rng.randrange(5, 60) * MS_PER_MINUTE
    yield from _outage(at_ms, (neighbour,), away_ms, Failure.STOP)


def _flapping(rng: random.Random, engine: int) -> Iterator[Event]:
    first_ms = _moment(rng)
    for number in range(20):
        at_ms = first_ms + number * 3 * MS_PER_MINUTE
        yield from _outage(at_ms, (engine,), MS_PER_MINUTE, Failure.STOP)
