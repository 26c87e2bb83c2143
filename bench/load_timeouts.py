"""Compares timeouts that distinguish unresponsive servers from slow ones.

Response times are sampled from seeded distributions for two kinds of request,
the same for each policy. A false alarm is a response that a policy would have
abandoned although it was still in progress. The detection time is the time
that a policy waits after a response has stopped permanently.

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
RESPONSE_COUNT = 4_000
#: Responses that a policy records before results are counted.
WARM_UP_RESPONSES = 200
#: Responses at these indexes take `SLOWDOWN` times as long.
SLOWED_INDEXES = range(2_000, 3_000)
SLOWDOWN = 3.0
#: Bounds with a floor of 1 ms, to show the effect of the floor.
BOUNDS_WITHOUT_FLOOR = timeouts.TimeoutBounds(
    initial_ms=10_000, floor_ms=1, ceiling_ms=60_000
)
FIXED_TIMEOUT_MS = 10_000
TOTAL_CEILING_MS = 600_000


@dataclasses.dataclass(frozen=True, slots=True)
class RequestProfile:
    """Distribution of the response times of one kind of request.

    The times follow log-normal distributions, given by median and sigma.
    """

    name: str
    median_first_byte_ms: float
    first_byte_sigma: float
    #: Pauses between the parts of one response.
    pause_count: int
    median_pause_ms: float
    pause_sigma: float
    #: Probability of a long pause, in which an engine processes other prompts.
    long_pause_probability: float
    long_pause_ms: float


PROFILES = (
    RequestProfile("status call", 8.0, 0.5, 0, 0.0, 0.0, 0.0, 0.0),
    RequestProfile("draft", 300.0, 0.6, 200, 50.0, 0.25, 0.002, 400.0),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Times of one response."""

    first_byte_ms: float
    pauses_ms: tuple[float, ...]

    @property
    def total_ms(self) -> float:
        """Time from the request to the last byte."""
        return self.first_byte_ms + sum(self.pauses_ms)


class TimeoutPolicy(Protocol):
    """Limits the time without a byte from the server."""

    def first_byte_timeout_ms(self) -> float:
        """Returns the timeout for the first byte."""

    def pause_timeout_ms(self, elapsed_ms: float) -> float:
        """Returns the timeout for a pause.

        Args:
            elapsed_ms: Time from the request to the start of the pause.
        """

    def record(self, response: Response) -> None:
        """Records the times of a complete response."""


class FixedTimeout:
    """Uses a constant timeout for the first byte and for every pause."""

    def first_byte_timeout_ms(self) -> float:
        """Returns the constant timeout."""
        return FIXED_TIMEOUT_MS

    def pause_timeout_ms(self, elapsed_ms: float) -> float:
        """Returns the constant timeout."""
        return FIXED_TIMEOUT_MS

    def record(self, response: Response) -> None:
        """Does nothing, as the timeout is constant."""


class AdaptiveTotalTimeout:
    """Adapts one timeout, from the request to the end of the response."""

    def __init__(self) -> None:
        self._total = timeouts.AdaptiveTimeout(
            timeouts.TimeoutBounds(FIXED_TIMEOUT_MS, 1, TOTAL_CEILING_MS)
        )

    def first_byte_timeout_ms(self) -> float:
        """Returns the timeout of the complete response."""
        return self._total.timeout_ms

    def pause_timeout_ms(self, elapsed_ms: float) -> float:
        """Returns the rest of the timeout of the complete response."""
        return self._total.timeout_ms - elapsed_ms

    def record(self, response: Response) -> None:
        """Records the total time of the response."""
        self._total.record(response.total_ms)


class AdaptiveByteTimeouts:
    """Adapts one timeout for the first byte and one between bytes."""

    def __init__(
        self,
        first_byte: timeouts.TimeoutBounds,
        between_bytes: timeouts.TimeoutBounds,
    ) -> None:
        self._first_byte = timeouts.AdaptiveTimeout(first_byte)
        self._between_bytes = timeouts.AdaptiveTimeout(between_bytes)

    def first_byte_timeout_ms(self) -> float:
        """Returns the timeout for the first byte."""
        return self._first_byte.timeout_ms

    def pause_timeout_ms(self, elapsed_ms: float) -> float:
        """Returns the timeout between two bytes."""
        return self._between_bytes.timeout_ms

    def record(self, response: Response) -> None:
        """Records the time to the first byte and each pause."""
        self._first_byte.record(response.first_byte_ms)
        for pause_ms in response.pauses_ms:
            self._between_bytes.record(pause_ms)


POLICIES: dict[str, Callable[[], TimeoutPolicy]] = {
    "fixed 10 s": FixedTimeout,
    "one moving": AdaptiveTotalTimeout,
    "two moving, no floor": lambda: AdaptiveByteTimeouts(
        BOUNDS_WITHOUT_FLOOR, BOUNDS_WITHOUT_FLOOR
    ),
    "two moving, as served": lambda: AdaptiveByteTimeouts(
        _engine_client.FIRST_BYTE_BOUNDS, _engine_client.BETWEEN_BYTES_BOUNDS
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Results of one policy for one kind of request."""

    kind: str
    policy: str
    false_alarms_per_1000: float
    false_alarms_per_1000_slowed: float
    detection_p50_ms: float
    detection_p95_ms: float


def generate_responses(profile: RequestProfile) -> Iterator[Response]:
    """Yields the responses to one kind of request, some of them slowed."""
    rng = random.Random(f"{SEED}/{profile.name}")
    for index in range(RESPONSE_COUNT):
        factor = SLOWDOWN if index in SLOWED_INDEXES else 1.0
        yield Response(
            factor
            * _sample_ms(
                rng, profile.median_first_byte_ms, profile.first_byte_sigma
            ),
            tuple(
                factor * _sample_pause_ms(rng, profile)
                for _ in range(profile.pause_count)
            ),
        )


def evaluate(profile: RequestProfile, name: str) -> Row:
    """Applies one policy to the responses to one kind of request."""
    policy = POLICIES[name]()
    rng = random.Random(f"{SEED}/{profile.name}/stop")
    false_alarms = {False: 0, True: 0}
    counts = {False: 0, True: 0}
    detections_ms: list[float] = []
    for index, response in enumerate(generate_responses(profile)):
        if index >= WARM_UP_RESPONSES:
            slowed = index in SLOWED_INDEXES
            counts[slowed] += 1
            false_alarms[slowed] += _times_out(policy, response)
            detections_ms.append(_sample_detection_ms(policy, response, rng))
        policy.record(response)
    quantiles_ms = statistics.quantiles(detections_ms, n=20)
    return Row(
        profile.name,
        name,
        round(1_000 * false_alarms[False] / counts[False], 2),
        round(1_000 * false_alarms[True] / counts[True], 2),
        round(quantiles_ms[9]),
        round(quantiles_ms[18]),
    )


def _times_out(policy: TimeoutPolicy, response: Response) -> bool:
    if response.first_byte_ms > policy.first_byte_timeout_ms():
        return True
    elapsed_ms = response.first_byte_ms
    for pause_ms in response.pauses_ms:
        if pause_ms > policy.pause_timeout_ms(elapsed_ms):
            return True
        elapsed_ms += pause_ms
    return False


def _sample_detection_ms(
    policy: TimeoutPolicy, response: Response, rng: random.Random
) -> float:
    """Returns the detection time if the response stops at a random byte."""
    stop_index = rng.randint(0, len(response.pauses_ms))
    if stop_index == 0:
        return policy.first_byte_timeout_ms()
    elapsed_ms = response.first_byte_ms + sum(
        response.pauses_ms[: stop_index - 1]
    )
    return max(0.0, policy.pause_timeout_ms(elapsed_ms))


def _sample_ms(rng: random.Random, median_ms: float, sigma: float) -> float:
    return median_ms * rng.lognormvariate(0.0, sigma)


def _sample_pause_ms(rng: random.Random, profile: RequestProfile) -> float:
    if rng.random() < profile.long_pause_probability:
        return profile.long_pause_ms
    return _sample_ms(rng, profile.median_pause_ms, profile.pause_sigma)


def main() -> None:
    """Compares all policies, writes the results and prints them."""
    rows = [
        evaluate(profile, name) for profile in PROFILES for name in POLICIES
    ]
    row_values = [dataclasses.asdict(row) for row in rows]
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(
        json.dumps({"seed": SEED, "rows": row_values}, indent=1) + "\n"
    )
    print("| " + " | ".join(row_values[0]) + " |")
    print("| " + " | ".join("---" for _ in row_values[0]) + " |")
    for row in row_values:
        print("| " + " | ".join(str(value) for value in row.values()) + " |")


if __name__ == "__main__":
    main()
