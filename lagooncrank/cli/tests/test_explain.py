"""Timelines of requests, reconstructed from decision logs."""

import json
import pathlib

import pytest
from typer import testing

from lagooncrank import decisions
from lagooncrank.cli import _app
from lagooncrank.cli import _explain

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "OPERATIONS.md"


def line(wall_ms: int, node: str, event: str, **fields: object) -> str:
    common_fields = {"wall_ms": wall_ms, "node": node, "event": event}
    return json.dumps(common_fields | fields)


LOG = [
    line(900, "control", "server_changed", server="s1", state="gone"),
    line(950, "control", "server_changed", server="s9", state="gone"),
    line(1_000, "entry", "request_refused", requests=["a", "r0"], code="FULL"),
    line(1_200, "entry", "stream_resumed", request="r1", tried=["s1"]),
    line(1_300, "entry", "answer_cut", request="r1", tried=["s1", "s2"]),
    line(1_100, "control", "group_moved", members=["s2"], reason="silent"),
    line(1_250, "other", "dependency_lost", dependency="control nodes"),
    "not a line",
    '{"wall_ms": 1',
]


def timeline(request: str) -> str:
    lines = _explain.parse_lines(LOG)
    return "\n".join(_explain.request_timeline(request, lines))


def test_request_in_a_combined_line_is_found() -> None:
    assert "code=FULL" in timeline("r0")


def test_timeline_includes_events_of_tried_servers() -> None:
    events = timeline("r1").splitlines()
    assert "server=s1" in events[0]
    assert "reason=silent" in events[1]
    assert "[stream_resumed]" in events[2]
    assert "[answer_cut]" in events[3]
    assert len(events) == 4


def test_unknown_request_exits_with_not_found(tmp_path: pathlib.Path) -> None:
    log = tmp_path / "log"
    log.write_text("\n".join(LOG))
    runner = testing.CliRunner()
    found = runner.invoke(_app.app, ["explain", "r1", str(log)])
    assert found.exit_code == 0
    missing = runner.invoke(_app.app, ["explain", "none", str(log)])
    assert missing.exit_code == 1


@pytest.mark.parametrize("event", list(decisions.Event))
def test_operations_page_documents_each_event(event: decisions.Event) -> None:
    rows = decisions.docs_table().splitlines()
    row = next(r for r in rows if r.startswith(f"| {event.value} "))
    assert row in PAGE.read_text()
