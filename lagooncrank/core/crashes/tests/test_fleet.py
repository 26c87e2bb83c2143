"""A fleet in which a prompt part crashes engines, or engines fail otherwise."""

import dataclasses

import pytest

from lagooncrank.core.crashes.tests import _fleet

#: Delay after the fifth crash from which on at most three requests may be sent.
STABILITY_MS = 3_000
MAX_LATE_SENDS = 3
SEEDS = range(3)

BASE = _fleet.Scenario()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "scenario",
    [
        BASE,
        dataclasses.replace(BASE, crashing_share=0.5),
        dataclasses.replace(BASE, crashing_share=0.03),
        dataclasses.replace(BASE, engines=2),
        dataclasses.replace(BASE, engines=1, requests_per_s=6.0),
        dataclasses.replace(BASE, tenants=1),
        # Other runs begin all the time, and have fewer events at a crash.
        dataclasses.replace(
            BASE,
            requests_per_s=200.0,
            crashing_share=0.02,
            events_before_crash=1,
        ),
        dataclasses.replace(BASE, entries=40, requests_per_s=40.0),
        dataclasses.replace(BASE, domain_failures_ms=(4_900, 5_200, 9_000)),
        dataclasses.replace(BASE, failure_interval_ms=700),
        dataclasses.replace(BASE, entry_restarts_ms=(6_000, 15_000, 25_000)),
    ],
)
def test_few_requests_with_the_crashing_part_are_sent(
    scenario: _fleet.Scenario, seed: int
) -> None:
    fleet = _fleet.Fleet(scenario, seed)
    outcome = fleet.play()
    assert outcome.sends_after(5, STABILITY_MS) <= MAX_LATE_SENDS
    # Sound requests share the tenant and the other parts, and go on.
    settled_ms = scenario.crashing_from_ms + 2 * STABILITY_MS
    late = [t for t in outcome.sound_refusals_ms if t > settled_ms]
    assert len(late) <= outcome.sound_requests * 0.01


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "scenario",
    [
        dataclasses.replace(BASE, failure_interval_ms=300),
        dataclasses.replace(BASE, failure_interval_ms=1_000, tenants=1),
        dataclasses.replace(
            BASE, domain_failures_ms=tuple(range(2_000, 40_000, 1_000))
        ),
        dataclasses.replace(
            BASE, requests_per_s=3.0, engines=3, failure_interval_ms=500
        ),
    ],
)
def test_ordinary_failures_accuse_no_part(
    scenario: _fleet.Scenario, seed: int
) -> None:
    sound_only = dataclasses.replace(scenario, crashing_share=0.0)
    fleet = _fleet.Fleet(sound_only, seed)
    outcome = fleet.play()
    refusals = len(outcome.sound_refusals_ms)
    assert refusals <= outcome.sound_requests * 0.01


@pytest.mark.parametrize("seed", SEEDS)
def test_part_is_admitted_once_it_crashes_no_engine_any_more(seed: int) -> None:
    scenario = dataclasses.replace(
        BASE, crashing_until_ms=20_000, end_ms=95_000
    )
    fleet = _fleet.Fleet(scenario, seed)
    fleet.play()
    assert all(not evidence.has_records for evidence in fleet.entries)
