"""The checks of the soak find what they are there for."""

import pytest

from soak import _ledger
from soak import _servers

BOOKING = _ledger.Sent("b1", may_repeat=False)


def engines(ledger: _ledger.Ledger) -> dict[str, _servers.CheckedServer]:
    """Returns a head and a member of epoch 1, the head open."""
    found: dict[str, _servers.CheckedServer] = {}
    for server_id in ("head", "member"):
        server = _servers.CheckedServer(
            server_id, "writers", [], "d1", ledger, found
        )
        server.on_join(1, ["head", "member"])
        server.group = {"name": "g1", "epoch": 1, "rank": 0, "state": "ready"}
        found[server_id] = server
    found["head"].group = {**found["head"].group, "state": "open"}  # type: ignore[dict-item]
    return found


@pytest.mark.parametrize(
    ("runs", "status", "signer", "is_broken"),
    [
        pytest.param(["s1"], 200, "s1", False, id="ran-once"),
        pytest.param(["s1"], 502, "", False, id="outcome-unknown"),
        pytest.param([], 503, "", False, id="refused"),
        pytest.param(["s1", "s2"], 200, "s1", True, id="ran-twice"),
        pytest.param(["s1"], 503, "", True, id="refused-and-ran"),
        pytest.param([], 200, "s1", True, id="success-of-nobody"),
        pytest.param(["s1"], 200, "s2", True, id="success-of-another"),
    ],
)
def test_bookings(
    runs: list[str], status: int, signer: str, is_broken: bool
) -> None:
    ledger = _ledger.Ledger()
    ledger.sent(BOOKING)
    for server_id in runs:
        ledger.ran(BOOKING.attempt_id, server_id)
    ledger.answered(BOOKING.attempt_id, status, signer)
    assert bool(ledger.close()) is is_broken


def test_request_that_nobody_sent_is_found() -> None:
    ledger = _ledger.Ledger()
    ledger.ran("forged", "s1")
    assert ledger.close()


def test_whole_group_runs_what_it_is_sent() -> None:
    ledger = _ledger.Ledger()
    found = engines(ledger)
    assert found["head"].may_run()
    assert not found["member"].may_run()
    assert not ledger.problems


def test_group_with_a_member_that_never_joined_is_found() -> None:
    ledger = _ledger.Ledger()
    found = engines(ledger)
    del found["member"]
    assert found["head"].may_run()
    assert ledger.problems


def test_join_under_an_open_head_is_found() -> None:
    ledger = _ledger.Ledger()
    found = engines(ledger)
    found["member"].on_join(2, ["member"])
    assert ledger.problems


def test_join_after_the_head_was_closed_is_none() -> None:
    ledger = _ledger.Ledger()
    found = engines(ledger)
    found["head"].group = None
    found["member"].on_join(2, ["member"])
    assert not ledger.problems
