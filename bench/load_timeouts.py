"""Compares timeouts that tell a silent backend server from a slow one.

Answers are drawn from seeded distributions for two kinds of request. Each
policy measures the same answers. A false alarm is an answer that a policy
would have given up although it was coming; the detection time is how long a
policy waits once an answer has stopped for good.

Run: python -m bench.load_timeouts
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import json
import pathlib
import random
import statistics
from typing import Protocol

from lagooncrank.core import timeouts
from lagooncrank.server import _engine_client

RESULTS = pathlib.Path(__file__).with_name("results") / "load_timeouts.json"
SEED = 5
ANSWERS = 4_000
#: Answers that teach a policy before anything is counted.
WARM_UP = 200
#: Every answer in this range takes this many times as long.
SLOW_RANGE = range(2_000, 3_000)
SLOWDOWN = 3.0
#: Bounds without a floor, to show what the floor is for.
OPEN_BOUNDS = timeouts.TimeoutBounds(
    initial_ms=10_000, floor_ms=1, ceiling_ms=60_000
)
FIXED_MS = 10_000
WHOLE_CEILING_MS = 600_000


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """How long one kind of request takes."""

    name: str
    first_byte_ms: float
    first_byte_sigma: float
    pauses: int
    pause_ms: float
    pause_sigma: float
    #: Probability and length of a long pause, as other prompts are computed.
    long_pause_rate: float
    long_pause_ms: float


KINDS = (
    Kind("status call", 8.0, 0.5, 0, 0.0, 0.0, 0.0, 0.0),
    Kind("draft", 300.0, 0.6, 200, 50.0, 0.25, 0.002, 400.0),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Durations of one answer."""

    first_byte_ms: float
    pauses_ms: tuple[float, ...]

    @property
    def whole_ms(self) -> float:
        """Time from the request to the last byte."""
        return self.first_byte_ms + sum(self.pauses_ms)


class Policy(Protocol):
    """Decides how long silence may last."""

    def first_byte_ms(self) -> float:
        """Returns the limit for the first byte."""

    def pause_ms(self, elapsed_ms: float) -> float:
        """Returns the limit for a pause that begins after `elapsed_ms`."""

    def record(self, answer: Answer) -> None:
        """Learns from a whole answer."""


class Fixed:
    """One limit for every silence."""

    def first_byte_ms(self) -> float:
        """Returns the limit."""
        return FIXED_MS

    def pause_ms(self, elapsed_ms: float) -> float:
        """Returns the limit."""
        return FIXED_MS

    def record(self, answer: Answer) -> None:
        """Learns nothing."""


class OneMoving:
    """One moving limit, from the request to the end of the answer."""

    def __init__(self) -> None:
        self._whole = timeouts.AdaptiveTimeout(
            timeouts.TimeoutBounds(FIXED_MS, 1, WHOLE_CEILING_MS)
        )

    def first_byte_ms(self) -> float:
        """Returns the limit of the whole answer."""
        return self._whole.timeout_ms

    def pause_ms(self, elapsed_ms: float) -> float:
        """Returns what is left of the limit of the whole answer."""
        return self._whole.timeout_ms - elapsed_ms

    def record(self, answer: Answer) -> None:
        """Learns how long the whole answer took."""
        self._whole.record(answer.whole_ms)


class TwoMoving:
    """A moving limit to the first byte and one between bytes."""

    def __init__(
        self,
        first_byte: timeouts.TimeoutBounds,
        between_bytes: timeouts.TimeoutBounds,
    ) -> None:
        self._first_byte = timeouts.AdaptiveTimeout(first_byte)
        self._between_bytes = timeouts.AdaptiveTimeout(between_bytes)

    def first_byte_ms(self) -> float:
        """Returns the limit for the first byte."""
        return self._first_byte.timeout_ms

    def pause_ms(self, elapsed_ms: float) -> float:
        """Returns the limit between two bytes."""
        return self._between_bytes.timeout_ms

    def record(self, answer: Answer) -> None:
        """Learns the time to the first byte and each pause."""
        self._first_byte.record(answer.first_byte_ms)
        for pause_ms in answer.pauses_ms:
            self._between_bytes.record(pause_ms)


POLICIES: dict[str, Callable[[], Policy]] = {
    "fixed 10 s": Fixed,
    "one moving": OneMoving,
    "two moving, no floor": lambda: TwoMoving(OPEN_BOUNDS, OPEN_BOUNDS),
    "two moving, as served": lambda: TwoMoving(
        _engine_client.FIRST_BYTE_BOUNDS, _engine_client.BETWEEN_BYTES_BOUNDS
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """How one policy did on one kind of request."""

    kind: str
    policy: str
    false_alarms_per_1000: float
    false_alarms_per_1000_slowed: float
    detection_p50_ms: float
    detection_p95_ms: float


def answers(kind: Kind) -> Iterator[Answer]:
    """Yields the seeded answers of one kind, slowed in part."""
    rng = random.Random(f"{SEED}/{kind.name}")
    for index in range(ANSWERS):
        factor = SLOWDOWN if index in SLOW_RANGE else 1.0
        yield Answer(
            factor * _draw(rng, kind.first_byte_ms, kind.first_byte_sigma),
            tuple(factor * _pause(rng, kind) for _ in range(kind.pauses)),
        )


def compare(kind: Kind, name: str) -> Row:
    """Runs one policy over the answers of one kind."""
    policy = POLICIES[name]()
    rng = random.Random(f"{SEED}/{kind.name}/stop")
    alarms = {False: 0, True: 0}
    counts = {False: 0, True: 0}
    detections: list[float] = []
    for index, answer in enumerate(answers(kind)):
        if index >= WARM_UP:
            slowed = index in SLOW_RANGE
            counts[slowed] += 1
            alarms[slowed] += _gives_up(policy, answer)
            detections.append(_detection_ms(policy, answer, rng))
        policy.record(answer)
    quantiles = statistics.quantiles(detections, n=20)
    return Row(
        kind.name,
        name,
        round(1_000 * alarms[False] / counts[False], 2),
        round(1_000 * alarms[True] / counts[True], 2),
        round(quantiles[9]),
        round(quantiles[18]),
    )


def _gives_up(policy: Policy, answer: Answer) -> bool:
    if answer.first_byte_ms > policy.first_byte_ms():
        return True
    elapsed_ms = answer.first_byte_ms
    for pause_ms in answer.pauses_ms:
        if pause_ms > policy.pause_ms(elapsed_ms):
            return True
        elapsed_ms += pause_ms
    return False


def _detection_ms(policy: Policy, answer: Answer, rng: random.Random) -> float:
    """Returns the wait after an answer stops before a drawn byte."""
    stop = rng.randint(0, len(answer.pauses_ms))
    if stop == 0:
        return policy.first_byte_ms()
    elapsed_ms = answer.first_byte_ms + sum(answer.pauses_ms[: stop - 1])
    return max(0.0, policy.pause_ms(elapsed_ms))


def _draw(rng: random.Random, median_ms: float, sigma: float) -> float:
    return median_ms * rng.lognormvariate(0.0, sigma)


def _pause(rng: random.Random, kind: Kind) -> float:
    if rng.random() < kind.long_pause_rate:
        return kind.long_pause_ms
    return _draw(rng, kind.pause_ms, kind.pause_sigma)


def main() -> None:
    """Compares every policy and writes the results."""
    rows = [compare(kind, name) for kind in KINDS for name in POLICIES]
    plain = [dataclasses.asdict(row) for row in rows]
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(
        json.dumps({"seed": SEED, "rows": plain}, indent=1) + "\n"
    )
    print("| " + " | ".join(plain[0]) + " |")
    print("| " + " | ".join("---" for _ in plain[0]) + " |")
    for row in plain:
        print("| " + " | ".join(str(value) for value in row.values()) + " |")


if __name__ == "__main__":
    main()
