"""Entries together stay within the limits, whatever happens to nodes."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from lagooncrank.core.limits.tests import _fleet

#: A server may get this many times its rate in 4 s, and some requests more.
RATE_FACTOR = 1.5
EXTRA_REQUESTS = 5
SEEDS = range(3)

BASE = _fleet.Scenario()


def assert_within_limits(
    scenario: _fleet.Scenario, outcome: _fleet.Outcome
) -> None:
    for process, rate_per_s in zip(
        outcome.sends_ms, scenario.rates_per_s, strict=True
    ):
        allowed = RATE_FACTOR * rate_per_s * _fleet.SPAN_MS / 1_000
        assert outcome.most_in_span(process) <= allowed + EXTRA_REQUESTS


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "scenario",
    [
        BASE,
        dataclasses.replace(BASE, requests_per_s=300.0),
        dataclasses.replace(BASE, entries=83, requests_per_s=100.0),
        dataclasses.replace(BASE, entries=1),
        dataclasses.replace(BASE, controls=0),
        dataclasses.replace(BASE, rates_per_s=(0.0, 0.02, 150.0)),
        dataclasses.replace(
            BASE, control_restarts_ms=((9_000, 0), (9_500, 1), (15_000, 0))
        ),
        dataclasses.replace(
            BASE,
            entry_restarts_ms=tuple((1_000 * n, n % 9) for n in range(1, 29)),
        ),
    ],
)
def test_sum_of_all_entries_stays_within_each_limit(
    scenario: _fleet.Scenario, seed: int
) -> None:
    outcome = _fleet.Fleet(scenario, seed).play()
    assert_within_limits(scenario, outcome)


# Guards against: servers are left idle although requests are refused.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("entries", [1, 9, 83])
def test_limited_servers_get_their_rate_while_requests_are_refused(
    entries: int, seed: int
) -> None:
    scenario = dataclasses.replace(
        BASE, entries=entries, requests_per_s=60.0, rates_per_s=(1.4, 2.2, 8.0)
    )
    outcome = _fleet.Fleet(scenario, seed).play()
    assert outcome.refused > 0
    for process, rate_per_s in zip(
        outcome.sends_ms, scenario.rates_per_s, strict=True
    ):
        served = len(outcome.sends_ms[process])
        assert served >= 0.9 * rate_per_s * scenario.end_ms / 1_000


# Guards against: with many entries, permits go to entries whose request has
# just been refused, and the server is left idle.
def test_limited_servers_get_their_rate_with_many_entries() -> None:
    scenario = dataclasses.replace(
        BASE, entries=83, requests_per_s=60.0, rates_per_s=(1.4, 2.2, 8.0)
    )
    used = []
    for seed in range(12):
        outcome = _fleet.Fleet(scenario, seed).play()
        for process, rate_per_s in zip(
            outcome.sends_ms, scenario.rates_per_s, strict=True
        ):
            served = len(outcome.sends_ms[process])
            used.append(served / (rate_per_s * scenario.end_ms / 1_000))
    assert min(used) >= 0.9


def test_entries_without_control_nodes_send_three_quarters() -> None:
    cut = _fleet.Cut(0, 30_000, tuple(range(9)), (0, 1, 2))
    scenario = dataclasses.replace(
        BASE, requests_per_s=120.0, rates_per_s=(18.0,), cuts=(cut,)
    )
    outcome = _fleet.Fleet(scenario, 1).play()
    assert_within_limits(scenario, outcome)
    (sends_ms,) = outcome.sends_ms.values()
    assert len(sends_ms) >= 0.9 * 0.75 * 18.0 * scenario.end_ms / 1_000


TIMES = strategies.integers(0, 2_000).map(lambda n: 10 * n)
CUTS = strategies.builds(
    lambda from_ms, for_ms, entries, controls: _fleet.Cut(
        from_ms, from_ms + for_ms, tuple(entries), tuple(controls)
    ),
    TIMES,
    strategies.integers(100, 8_000),
    # Fewer than half: the others are served by the control nodes.
    strategies.sets(strategies.integers(0, 8), max_size=4),
    # All of them; a part only makes entries disagree on the issuer.
    strategies.just((0, 1, 2)),
)


@hypothesis.settings(max_examples=25)
@hypothesis.given(
    cuts=strategies.lists(CUTS, max_size=2),
    controls=strategies.lists(
        strategies.tuples(TIMES, strategies.integers(0, 2)), max_size=3
    ),
    entries=strategies.lists(
        strategies.tuples(TIMES, strategies.integers(0, 8)), max_size=6
    ),
    rate_per_s=strategies.floats(0.0, 20.0),
    requests_per_s=strategies.floats(1.0, 100.0),
    seed=strategies.integers(0, 1_000),
)
def test_naive_count_of_all_sends_under_generated_failures(
    cuts: list[_fleet.Cut],
    controls: list[tuple[int, int]],
    entries: list[tuple[int, int]],
    rate_per_s: float,
    requests_per_s: float,
    seed: int,
) -> None:
    scenario = dataclasses.replace(
        BASE,
        rates_per_s=(rate_per_s,),
        requests_per_s=requests_per_s,
        cuts=tuple(cuts),
        control_restarts_ms=tuple(controls),
        entry_restarts_ms=tuple(entries),
        end_ms=20_000,
    )
    outcome = _fleet.Fleet(scenario, seed).play()
    assert_within_limits(scenario, outcome)
