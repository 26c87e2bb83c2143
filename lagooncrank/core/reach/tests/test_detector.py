"""Which services an entry reaches, by the outcomes of its connections."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from lagooncrank import model
from lagooncrank.core import reach

SERVICE = model.ServiceName("writers")
SERVERS = 48


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One outcome: of a request's connection or of a probe."""

    #: "failed", "connected", "probe_failed" or "probe_ok".
    outcome: str
    server_id: str = "s1"
    at_ms: int = 0


def detector_after(*steps: Step, servers: int = SERVERS) -> reach.ReachDetector:
    detector = reach.ReachDetector()
    for step in steps:
        apply(detector, step, servers)
    return detector


def apply(detector: reach.ReachDetector, step: Step, servers: int) -> None:
    if step.outcome == "failed":
        detector.record_failed(SERVICE, step.server_id, servers, step.at_ms)
    elif step.outcome == "probe_failed":
        detector.record_probe_failed(SERVICE, step.server_id, step.at_ms)
    else:
        detector.record_connected(SERVICE, step.at_ms)


LOST = (Step("failed", "s1"), Step("failed", "s2"))
CONFIRMED = (*LOST, Step("probe_failed", "s3"))


@pytest.mark.parametrize(
    ("steps", "servers", "is_reached", "is_confirmed"),
    [
        pytest.param((), SERVERS, True, False, id="just-started"),
        pytest.param((LOST[0],), SERVERS, True, False, id="one-server-down"),
        pytest.param(
            (LOST[0], LOST[0]), SERVERS, True, False, id="same-server-twice"
        ),
        pytest.param((LOST[0],), 1, False, False, id="its-only-server"),
        pytest.param(LOST, SERVERS, False, False, id="two-servers"),
        pytest.param(
            (LOST[0], Step("connected"), LOST[1]),
            SERVERS,
            True,
            False,
            id="connected-in-between",
        ),
        pytest.param(
            (LOST[0], Step("failed", "s2", 5_000)),
            SERVERS,
            True,
            False,
            id="failures-far-apart",
        ),
        pytest.param(
            (*LOST, Step("probe_ok")), SERVERS, True, False, id="false-alarm"
        ),
        pytest.param(CONFIRMED, SERVERS, False, True, id="confirmed"),
        pytest.param(
            (*CONFIRMED, Step("probe_ok")),
            SERVERS,
            False,
            True,
            id="one-success-is-not-enough",
        ),
        pytest.param(
            (*CONFIRMED, Step("probe_ok"), Step("probe_ok")),
            SERVERS,
            True,
            False,
            id="regained",
        ),
        pytest.param(
            (
                *CONFIRMED,
                Step("probe_ok"),
                Step("probe_failed"),
                Step("probe_ok"),
            ),
            SERVERS,
            False,
            True,
            id="successes-not-in-a-row",
        ),
    ],
)
def test_state_after(
    steps: tuple[Step, ...], servers: int, is_reached: bool, is_confirmed: bool
) -> None:
    detector = detector_after(*steps, servers=servers)
    assert detector.is_reached(SERVICE) is is_reached
    assert bool(detector.confirmed_unreached()) is is_confirmed


# Guards against: a path that fails every two seconds sent requests to servers
# that were about to be lost again.
def test_flapping_path_has_to_hold_longer_each_time() -> None:
    detector = detector_after(*CONFIRMED)
    needed = []
    for _ in range(4):
        successes = 0
        while not detector.is_reached(SERVICE):
            apply(detector, Step("probe_ok"), SERVERS)
            successes += 1
        needed.append(successes)
        for step in CONFIRMED:
            apply(detector, step, SERVERS)
    assert needed == [2, 4, 8, 8]


def test_probes_are_due_at_intervals_until_the_path_is_back() -> None:
    detector = detector_after(*LOST)
    due = [bool(detector.take_due_probes(ms)) for ms in (0, 100, 249, 250)]
    assert due == [True, False, False, True]
    apply(detector, Step("probe_ok"), SERVERS)
    assert not detector.take_due_probes(1_000)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                ["failed", "connected", "probe_failed", "probe_ok"]
            ),
            strategies.sampled_from(["s1", "s2", "s3"]),
        ),
        max_size=30,
    )
)
def test_changes_alternate_and_a_service_that_works_is_reached(
    outcomes: list[tuple[str, str]],
) -> None:
    detector = reach.ReachDetector()
    changes: list[bool] = []
    detector.listeners.append(lambda change: changes.append(change.is_reached))
    for outcome, server_id in outcomes:
        apply(detector, Step(outcome, server_id), SERVERS)
    assert changes == [bool(n % 2) for n in range(len(changes))]
    for _ in range(8):
        apply(detector, Step("probe_ok"), SERVERS)
    assert detector.is_reached(SERVICE)
