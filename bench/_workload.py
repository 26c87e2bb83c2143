"""Generator of client accounts' requests, the same for every policy."""

from collections.abc import Iterator
import dataclasses
import heapq
import random


@dataclasses.dataclass(frozen=True, slots=True)
class AccountLoad:
    """Rate and size of one account's requests."""

    account: str
    #: Requests per second between bursts and during them.
    base_rate_per_s: float
    burst_rate_per_s: float
    #: A burst starts at `offset_ms` and then every `period_ms`; each lasts
    #: `burst_ms`.
    period_ms: int
    offset_ms: int
    burst_ms: int
    #: Mean number of tokens of a prompt and of its output.
    prompt_tokens: int
    output_tokens: int
    #: Indices of the entries that the account's callers use.
    entries: tuple[int, ...]

    def rate_per_s(self, now_ms: float) -> float:
        """Returns the request rate at a time."""
        elapsed_ms = (now_ms - self.offset_ms) % self.period_ms
        is_bursting = now_ms >= self.offset_ms and elapsed_ms < self.burst_ms
        return self.burst_rate_per_s if is_bursting else self.base_rate_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """Time, destination and size of one request."""

    at_ms: float
    account: str
    entry: int
    prompt_tokens: int
    output_tokens: int


def arrivals(
    loads: tuple[AccountLoad, ...], duration_ms: int, seed: int
) -> Iterator[Arrival]:
    """Yields the arrivals of all accounts in chronological order."""
    streams = (
        _stream(load, duration_ms, random.Random(f"{seed}/{load.account}"))
        for load in loads
    )
    yield from heapq.merge(*streams, key=lambda arrival: arrival.at_ms)


def _stream(
    load: AccountLoad, duration_ms: int, rng: random.Random
) -> Iterator[Arrival]:
    """Yields one account's arrivals: a Poisson process with a varying rate.

    A process at the peak rate is thinned to the current rate.
    """
    peak_rate_per_s = max(load.base_rate_per_s, load.burst_rate_per_s)
    now_ms = 0.0
    while peak_rate_per_s > 0:
        now_ms += rng.expovariate(peak_rate_per_s) * 1_000
        if now_ms >= duration_ms:
            return
        is_kept = rng.random() * peak_rate_per_s < load.rate_per_s(now_ms)
        prompt_tokens = 1 + round(rng.expovariate(1 / load.prompt_tokens))
        output_tokens = 1 + round(rng.expovariate(1 / load.output_tokens))
        entry = rng.choice(load.entries)
        if is_kept:
            yield Arrival(
                now_ms,
                load.account,
                entry,
                min(prompt_tokens, 8 * load.prompt_tokens),
                min(output_tokens, 8 * load.output_tokens),
            )
