"""A fleet in which one request crashes engines, and comes again and again."""

from collections.abc import Iterable
import dataclasses
import itertools

from lagooncrank import model
from lagooncrank.core import crashes
from lagooncrank.core.crashes.tests import _fleet

#: Delay after the third crash from which on at most three copies may be sent.
STABILITY_MS = 3_000
MAX_LATE_SENDS = 3
SEEDS = range(3)

ROUNDS = _fleet.Repeats()
#: No request but the repeated one crashes engines.
BASE = _fleet.Scenario(
    entries=9,
    engines=3,
    requests_per_s=6.0,
    crashing_share=0.0,
    repeats=ROUNDS,
    end_ms=120_000,
)


def broken_runs(
    scenarios: Iterable[_fleet.Scenario],
) -> list[tuple[_fleet.Scenario, int, int]]:
    """Returns scenarios, seeds and sends where too many copies were sent."""
    broken = []
    for scenario, seed in itertools.product(scenarios, SEEDS):
        outcome = _fleet.Fleet(scenario, seed).play()
        assert len(outcome.crashes_ms) >= 3
        late_sends = outcome.sends_after(3, STABILITY_MS)
        if late_sends > MAX_LATE_SENDS:
            broken.append((scenario, seed, late_sends))
    return broken


# Guards against: copies that crash servers shortly after each other count as
# fewer crashes than there were.
def test_copies_that_follow_each_other() -> None:
    scenarios = [
        dataclasses.replace(
            BASE,
            repeats=dataclasses.replace(
                ROUNDS, interval_ms=interval_ms, spacing_ms=spacing_ms
            ),
        )
        for interval_ms in (1_500, 4_000)
        for spacing_ms in (40, 60, 120, 700)
    ]
    assert not broken_runs(scenarios)


# Guards against: copies that crash servers at the same time count as one crash.
def test_copies_that_arrive_together() -> None:
    scenarios = [
        dataclasses.replace(
            BASE,
            engines=copies,
            repeats=dataclasses.replace(
                ROUNDS, copies=copies, spacing_ms=spacing_ms
            ),
        )
        for copies in (3, 4, 6)
        for spacing_ms in (0, 5, 16)
    ]
    assert not broken_runs(scenarios)


# Guards against: runs that have just begun hide a request that crashes servers.
def test_request_that_crashes_servers_after_its_first_events() -> None:
    scenarios = [
        dataclasses.replace(
            BASE,
            requests_per_s=60.0,
            repeats=dataclasses.replace(ROUNDS, copies=1),
            events_before_crash=events,
        )
        for events in (1, 2)
    ]
    assert not broken_runs(scenarios)


# Guards against: a request that was refused runs again after other failures.
def test_failure_of_many_runs_leaves_the_request_accused() -> None:
    evidence = crashes.CrashEvidence()
    for number in range(3):
        server_id = model.BackendServerId(f"e{number}")
        features = ("common", _fleet.CRASHING_REQUEST)
        now_ms = 10_000 + 200 * number
        evidence.record_crash(server_id, 1, features, 0, now_ms)
    assert evidence.find([_fleet.CRASHING_REQUEST, "common"])
    for number in range(5 * crashes.MAX_RECORDS):
        server_id = model.BackendServerId(f"f{number % 7}")
        features = ("common", f"request-{number}")
        evidence.record_crash(server_id, 1, features, 0, 12_000 + number % 90)
    batch = evidence.batch(12_100)
    assert len(batch.records) <= crashes.MAX_RECORDS
    assert evidence.find([_fleet.CRASHING_REQUEST, "common"])


# Guards against: a failed domain blames a request that many callers send.
def test_failed_domain_accuses_no_frequent_request() -> None:
    scenario = dataclasses.replace(
        BASE,
        engines=12,
        requests_per_s=40.0,
        repeats=None,
        frequent_share=0.5,
        domain_failures_ms=tuple(range(2_000, 110_000, 4_000)),
    )
    for seed in SEEDS:
        outcome = _fleet.Fleet(scenario, seed).play()
        refusals = len(outcome.sound_refusals_ms)
        assert refusals <= outcome.sound_requests * 0.01
