import json
import pathlib

import pytest

from lagooncrank import clock as clocks
from soak import _budget
from soak import _checks
from soak import _disturbances
from soak import _given_up

CORE = "127.1.1.1"
ENTRY = "127.1.1.4"
NOW_S = 100.0


def checks_of(*, has_pauses_only: bool) -> _checks.Checks:
    """Returns the checks of a deployment whose only entry was just paused."""
    disturbances = _disturbances.Disturbances([CORE])
    disturbances.add(ENTRY, _disturbances.Cause.ACCIDENT, NOW_S)
    checks = _checks.Checks(
        disturbances,
        _checks.Bounds.usual(_budget.BINDING_RULES),
        lambda: NOW_S,
    )
    checks.has_pauses_only = has_pauses_only
    return checks


def violations_of(
    checks: _checks.Checks, runs: list[_given_up.GivenUpRun]
) -> list[str]:
    return [v for v in checks.finish({}, {}, runs) if v.startswith("SOUND: ")]


def run_now() -> _given_up.GivenUpRun:
    return _given_up.GivenUpRun(
        "polite0-1", clocks.SystemClock().wall_ms(), "pause"
    )


# Guards against a check that sees nothing, or that counts servers that the
# soak itself silenced or held up.
@pytest.mark.parametrize(
    ("has_pauses_only", "delay_s", "is_violation"),
    [
        pytest.param(True, None, True, id="paused-entry"),
        pytest.param(False, None, False, id="other-faults"),
        pytest.param(True, NOW_S - 2.0, False, id="soak-was-late"),
        pytest.param(True, NOW_S - 5.0, True, id="soak-was-late-long-before"),
    ],
)
def test_sound_servers_that_were_given_up_are_reported(
    has_pauses_only: bool, delay_s: float | None, is_violation: bool
) -> None:
    checks = checks_of(has_pauses_only=has_pauses_only)
    if delay_s is not None:
        checks.disturbances.add(CORE, _disturbances.Cause.ACCIDENT, delay_s)
    assert bool(violations_of(checks, [run_now()])) is is_violation
    assert not violations_of(checks_of(has_pauses_only=True), [])


def test_runs_that_were_given_up_are_read_from_logs(
    tmp_path: pathlib.Path,
) -> None:
    resumed = {"wall_ms": 5, "event": "stream_resumed"}
    lines = [
        json.dumps({**resumed, "request": "a1", "given_up_for": "pause"}),
        json.dumps({**resumed, "request": "a2", "given_up_for": None}),
        json.dumps({**resumed, "request": "a3"}),
        json.dumps({"wall_ms": 6, "event": "answer_cut", "request": "a4"}),
        "Traceback of stream_resumed",
    ]
    log_file = tmp_path / "entry.log"
    log_file.write_text("\n".join(lines))
    assert _given_up.read_given_up([log_file]) == [
        _given_up.GivenUpRun("a1", 5, "pause")
    ]
