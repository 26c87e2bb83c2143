"""The account of repeats against what the budget paid for."""

import json
import pathlib
from typing import Any

import pytest

from soak import _charges


def account(*arrivals_s: float) -> _charges.Account:
    """Returns an account with arrivals of one request."""
    recorded = _charges.Account()
    for at_s in arrivals_s:
        recorded.record_arrival(_charges.Arrival("a1", "desk", "s1", at_s))
    return recorded


# Guards against: a repeat that the budget did not pay for passes unseen,
# because the bound on all repeats is far off.
@pytest.mark.parametrize(
    ("arrivals_s", "charged", "is_violation"),
    [
        pytest.param([1.0], 0, False, id="first"),
        pytest.param([1.0, 2.0], 1, False, id="paid"),
        pytest.param([1.0, 2.0], 2, False, id="paid-and-not-sent"),
        pytest.param([1.0, 2.0], 0, True, id="unpaid"),
        pytest.param([1.0, 2.0, 3.0], 1, True, id="one-of-two-paid"),
    ],
)
def test_repeats_against_charges(
    arrivals_s: list[float], charged: int, is_violation: bool
) -> None:
    found = list(account(*arrivals_s).violations({"a1": charged}))
    assert bool(found) is is_violation


@pytest.mark.parametrize(
    ("kill_s", "is_violation"),
    [(0.5, False), (2.2, False), (5.0, True), (-2.0, True)],
)
def test_killed_process_may_not_have_written_a_charge(
    kill_s: float, is_violation: bool
) -> None:
    recorded = account(1.0, 2.0)
    recorded.record_kill(kill_s)
    assert bool(list(recorded.violations({}))) is is_violation


@pytest.mark.parametrize(
    ("fields", "charged"),
    [
        ({"charged": True, "failure": "silent"}, 1),
        ({"charged": False, "failure": "connect_failed"}, 0),
        pytest.param({"failure": "silent"}, 1, id="older-build"),
        pytest.param(
            {"failure": "connect_failed"}, 0, id="older-build-not-sent"
        ),
        ({"event": "request_refused", "charged": True}, 0),
    ],
)
def test_charges_are_read_from_logs(
    tmp_path: pathlib.Path, fields: dict[str, Any], charged: int
) -> None:
    line = {"event": "request_sent_again", "request": "a1"} | fields
    file = tmp_path / "entry.log"
    file.write_text(f'{json.dumps(line)}\n{{"event": "request_sent_ag')
    assert _charges.read_charges([file])["a1"] == charged
