"""Generated arrivals of client accounts, the same for every policy."""

from collections.abc import Iterator
import dataclasses
import heapq
import random


@dataclasses.dataclass(frozen=True, slots=True)
class AccountLoad:
    """How one account sends."""

    account: str
    #: Requests per second outside and inside of bursts.
    quiet_per_s: float
    burst_per_s: float
    #: Bursts begin every `period_ms`, at `offset_ms`, for `burst_ms`.
    period_ms: int
    offset_ms: int
    burst_ms: int
    prompt_tokens: int
    output_tokens: int
    #: Entries that the account's callers use.
    entries: tuple[int, ...]

    def rate_per_s(self, now_ms: float) -> float:
        """Returns the sending rate at a time."""
        since_ms = (now_ms - self.offset_ms) % self.period_ms
        bursts = now_ms >= self.offset_ms and since_ms < self.burst_ms
        return self.burst_per_s if bursts else self.quiet_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a caller."""

    at_ms: float
    account: str
    entry: int
    prompt_tokens: int
    output_tokens: int


def arrivals(
    loads: tuple[AccountLoad, ...], duration_ms: int, seed: int
) -> Iterator[Arrival]:
    """Yields the arrivals of all accounts in order of time."""
    streams = (
        _stream(load, duration_ms, random.Random(f"{seed}/{load.account}"))
        for load in loads
    )
    yield from heapq.merge(*streams, key=lambda arrival: arrival.at_ms)


def _stream(
    load: AccountLoad, duration_ms: int, source: random.Random
) -> Iterator[Arrival]:
    """Yields a Poisson stream, thinned to the rate of the moment."""
    peak_per_s = max(load.quiet_per_s, load.burst_per_s)
    now_ms = 0.0
    while peak_per_s > 0:
        now_ms += source.expovariate(peak_per_s) * 1_000
        if now_ms >= duration_ms:
            return
        keep = source.random() * peak_per_s < load.rate_per_s(now_ms)
        prompt = 1 + round(source.expovariate(1 / load.prompt_tokens))
        output = 1 + round(source.expovariate(1 / load.output_tokens))
        entry = source.choice(load.entries)
        if keep:
            yield Arrival(
                now_ms,
                load.account,
                entry,
                min(prompt, 8 * load.prompt_tokens),
                min(output, 8 * load.output_tokens),
            )
