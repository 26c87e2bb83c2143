"""Series of changes to control nodes, and the search that plays them."""

import pytest

from lagooncrank.core import consensus
from lagooncrank.core.consensus.tests import control_series
from lagooncrank.core.consensus.tests import simulated_cluster as clusters

SERIES = 24
STEP = control_series.Step
CHANGE = control_series.Change
#: Adds two machines that have had their time.
TWO_SUCCESSORS = (
    STEP(0, CHANGE.ADD, 0, 0),
    STEP(0, CHANGE.ADD, 1, 0),
    STEP(4_500, CHANGE.ADD, 2, 0),
)
#: Shortest steps of series that failed before a fix.
FOUND = {
    "two_planned_stops": (
        *TWO_SUCCESSORS,
        STEP(4_500, CHANGE.STOP, 0, 0),
        STEP(2_000, CHANGE.STOP, 0, 0),
        STEP(2_000, CHANGE.STOP, 0, 0),
    ),
    "learner_that_was_cut_off_never_asked_again": (
        STEP(2_000, CHANGE.ADD, 133, 0),
        STEP(300, CHANGE.ADD, 239, 0),
        STEP(4_500, CHANGE.CUT, 553, 6_000),
    ),
}


# Guards against: changes of the control machines one after the other that each
# were tolerated alone lost acknowledged documents (review cases 11 to 14).
@pytest.mark.parametrize("seed", range(SERIES))
def test_random_series_lose_nothing(seed: int) -> None:
    steps = control_series.draw_steps(seed)
    assert control_series.find_failure(seed, steps) is None


@pytest.mark.parametrize("steps", FOUND.values(), ids=FOUND.keys())
def test_series_that_failed_before(
    steps: tuple[control_series.Step, ...],
) -> None:
    series = control_series.Series(0)
    series.play(steps)
    assert series.played == list(steps)


def machine(sound_from_ms: int | None) -> control_series.Machine:
    cluster = clusters.SimulatedCluster(0)
    host = cluster.hosts[cluster.voter_ids[0]]
    return control_series.Machine(host, sound_from_ms, is_settled=True)


#: When each machine is sound, the change of the first one, and whether that is
#: allowed at 1,000 ms.
CASES = {
    "one_of_three_may_be_lost": ((0, 0, 0), "kill", True),
    "one_of_three_may_stop": ((0, 0, 0), "stop", True),
    "two_may_not_be_lost": ((0, 0, None), "pause", False),
    "machine_that_is_back_still_counts": ((0, 0, 4_000), "crash", False),
    "machine_that_is_lost_itself_counts_once": ((4_000, 0, 0), "kill", True),
    "stop_beside_a_loss_needs_a_successor": ((0, 0, None), "stop", False),
    "stop_beside_a_loss_with_successors": ((0, 0, 0, 0, None), "stop", True),
    "loss_beside_a_loss_with_successors": ((0, 0, 0, 0, None), "kill", False),
    "machines_are_added_at_any_time": ((0, None, None), "add", True),
}


@pytest.mark.parametrize(
    ("sound_from_ms", "change", "expected"), CASES.values(), ids=CASES.keys()
)
def test_loss_model(
    sound_from_ms: tuple[int | None, ...], change: str, expected: bool
) -> None:
    losses = control_series.LossModel()
    losses.machines = [machine(ms) for ms in sound_from_ms]
    first = losses.machines[0]
    allowed = losses.allows(control_series.Change(change), first, 1_000)
    assert allowed is expected


def test_machine_killed_for_good_counts_for_some_time() -> None:
    losses = control_series.LossModel()
    losses.machines = [machine(0) for _ in range(5)]
    losses.record_killed(losses.machines[0], 1_000)
    first = losses.machines[0]
    kill = control_series.Change.KILL
    assert not losses.allows(kill, first, 1_000)
    assert losses.allows(kill, first, 1_000 + control_series.CATCH_UP_MS)


# Guards against: a search that sees no fault. Without the hand-over of a stop
# the series must fail, and so must its shortened steps.
def test_fault_that_is_put_back_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    participant = consensus.Participant
    monkeypatch.setattr(participant, "leave", lambda *_: None)
    monkeypatch.setattr(participant, "may_stop", lambda *_: True)
    steps = (*FOUND["two_planned_stops"], STEP(9_000, CHANGE.PAUSE, 1, 500))
    assert control_series.find_failure(0, steps) is not None
    shorter = control_series.shrink(0, steps)
    assert len(shorter) < len(steps)
    assert control_series.find_failure(0, shorter) is not None
