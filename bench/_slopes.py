"""Measures how costs grow with the number of objects: linear regressions."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import statistics
import time

from lagooncrank import registry

NS_PER_US = 1_000
#: Timings per size. The shortest counts, because other load on the machine can
#: only lengthen a timing.
TIMING_REPEATS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """Cost measured at one size."""

    size: int
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """Line fitted to the costs at several sizes."""

    name: str
    #: Unit of the cost.
    unit: str
    #: Kind of object whose number the cost grows with.
    per: str
    #: Description of what was measured.
    what: str
    #: Cost of one more object.
    slope: float
    #: Cost at size 0, by the fitted line.
    base: float
    sizes: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Definition of one slope's measurement, with the fields of `Slope`."""

    unit: str
    per: str
    what: str
    #: Measures the costs at several sizes.
    measure_points: Callable[[], Iterable[Point]]


#: All measurements by the name of their slope.
MEASUREMENTS: registry.Registry[Measurement] = registry.Registry("slope")


def measurement(
    name: str, unit: str, per: str, what: str
) -> Callable[[Callable[[], Iterable[Point]]], Callable[[], Iterable[Point]]]:
    """Returns a decorator that registers a function as a measurement."""

    def decorate(
        measure_points: Callable[[], Iterable[Point]],
    ) -> Callable[[], Iterable[Point]]:
        MEASUREMENTS.register(name)(
            Measurement(unit, per, what, measure_points)
        )
        return measure_points

    return decorate


def measure(name: str) -> Slope:
    """Measures and fits the slope of a registered measurement."""
    definition = MEASUREMENTS.get(name)
    points = tuple(definition.measure_points())
    slope, base = fit(points)
    return Slope(
        name=name,
        unit=definition.unit,
        per=definition.per,
        what=definition.what,
        slope=slope,
        base=base,
        sizes=tuple(point.size for point in points),
    )


def fit(points: Iterable[Point]) -> tuple[float, float]:
    """Returns slope and base of the least-squares line through the points.

    >>> fit([Point(1, 12.0), Point(2, 14.0), Point(4, 18.0)])
    (2.0, 10.0)
    """
    points = tuple(points)
    line = statistics.linear_regression(
        [point.size for point in points], [point.cost for point in points]
    )
    return line.slope, line.intercept


def cpu_us(action: Callable[[], object], repeats: int) -> float:
    """Returns the processor time of one call of `action`, in microseconds."""
    return min(_measure_cpu_us(action, repeats) for _ in range(TIMING_REPEATS))


def _measure_cpu_us(action: Callable[[], object], repeats: int) -> float:
    start_ns = time.process_time_ns()
    for _ in range(repeats):
        action()
    return (time.process_time_ns() - start_ns) / NS_PER_US / repeats
