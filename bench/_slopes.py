"""Measures how a cost grows with a number of objects, on several sizes."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import statistics
import time

from lagooncrank import registry

NS_PER_US = 1_000
#: Timings of one size; the shortest counts, as others only add to it.
TIMINGS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """Cost of one size."""

    size: int
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """Straight line through the costs of several sizes."""

    name: str
    #: Unit of the cost.
    unit: str
    #: What the cost grows with.
    per: str
    what: str
    slope: float
    #: Cost of size 0 on the line.
    base: float
    sizes: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """How one slope is measured."""

    unit: str
    per: str
    what: str
    points: Callable[[], Iterable[Point]]


#: Every measurement by the name of its slope.
MEASUREMENTS: registry.Registry[Measurement] = registry.Registry("slope")


def measurement(
    name: str, unit: str, per: str, what: str
) -> Callable[[Callable[[], Iterable[Point]]], Callable[[], Iterable[Point]]]:
    """Returns a decorator that registers a function as a measurement."""

    def decorate(
        points: Callable[[], Iterable[Point]],
    ) -> Callable[[], Iterable[Point]]:
        MEASUREMENTS.register(name)(Measurement(unit, per, what, points))
        return points

    return decorate


def measure(name: str) -> Slope:
    """Measures one slope."""
    wanted = MEASUREMENTS.get(name)
    points = tuple(wanted.points())
    slope, base = fit(points)
    return Slope(
        name=name,
        unit=wanted.unit,
        per=wanted.per,
        what=wanted.what,
        slope=slope,
        base=base,
        sizes=tuple(point.size for point in points),
    )


def fit(points: Iterable[Point]) -> tuple[float, float]:
    """Returns slope and base of the least-squares line.

    >>> fit([Point(1, 12.0), Point(2, 14.0), Point(4, 18.0)])
    (2.0, 10.0)
    """
    points = tuple(points)
    line = statistics.linear_regression(
        [point.size for point in points], [point.cost for point in points]
    )
    return line.slope, line.intercept


def cpu_us(action: Callable[[], object], repeats: int) -> float:
    """Returns the processor time of one call, in microseconds."""
    return min(_cpu_us(action, repeats) for _ in range(TIMINGS))


def _cpu_us(action: Callable[[], object], repeats: int) -> float:
    start_ns = time.process_time_ns()
    for _ in range(repeats):
        action()
    return (time.process_time_ns() - start_ns) / NS_PER_US / repeats
