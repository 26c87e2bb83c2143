"""The checks of the soak test detect violated guarantees."""

import pytest

from soak import _history
from soak import _servers

BOOKING = _history.SentRequest("b1", is_retry_safe=False)


def group_of_two(
    history: _history.RequestHistory,
) -> dict[str, _servers.CheckingServer]:
    """Returns the open head and the member of a group in epoch 1."""
    servers: dict[str, _servers.CheckingServer] = {}
    for server_id in ("head", "member"):
        server = _servers.CheckingServer(
            server_id, "writers", [], "d1", history, servers
        )
        server.on_join(1, ["head", "member"])
        server.group = {"name": "g1", "epoch": 1, "rank": 0, "state": "ready"}
        servers[server_id] = server
    servers["head"].group = {**servers["head"].group, "state": "open"}  # type: ignore[dict-item]
    return servers


@pytest.mark.parametrize(
    ("runs", "status", "signing_server", "is_violation"),
    [
        pytest.param(["s1"], 200, "s1", False, id="ran-once"),
        pytest.param(["s1"], 502, "", False, id="outcome-unknown"),
        pytest.param([], 503, "", False, id="refused"),
        pytest.param(["s1", "s2"], 200, "s1", True, id="ran-twice"),
        pytest.param(["s1"], 503, "", True, id="ran-but-refused"),
        pytest.param([], 200, "s1", True, id="success-without-run"),
        pytest.param(["s1"], 200, "s2", True, id="success-of-another-server"),
    ],
)
def test_request_that_may_run_once(
    runs: list[str], status: int, signing_server: str, is_violation: bool
) -> None:
    history = _history.RequestHistory()
    history.record_request(BOOKING)
    for server_id in runs:
        history.record_run(BOOKING.attempt_id, server_id)
    history.record_response(BOOKING.attempt_id, status, signing_server)
    assert bool(history.finish()) is is_violation


def test_run_of_a_request_that_no_caller_sent_is_reported() -> None:
    history = _history.RequestHistory()
    history.record_run("forged", "s1")
    assert history.finish()


def test_head_of_a_complete_group_runs_requests() -> None:
    history = _history.RequestHistory()
    servers = group_of_two(history)
    assert servers["head"].may_run()
    assert not servers["member"].may_run()
    assert not history.violations


def test_open_head_without_its_member_is_reported() -> None:
    history = _history.RequestHistory()
    servers = group_of_two(history)
    del servers["member"]
    assert servers["head"].may_run()
    assert history.violations


def test_join_of_a_member_whose_head_is_open_is_reported() -> None:
    history = _history.RequestHistory()
    servers = group_of_two(history)
    servers["member"].on_join(2, ["member"])
    assert history.violations


def test_join_of_a_member_whose_head_left_is_allowed() -> None:
    history = _history.RequestHistory()
    servers = group_of_two(history)
    servers["head"].group = None
    servers["member"].on_join(2, ["member"])
    assert not history.violations
