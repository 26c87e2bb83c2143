"""The account of a stretch of time from the logs of all nodes."""

import json
import pathlib
from typing import Any

import pytest
import typer.testing

from lagooncrank.cli import _app
from lagooncrank.cli import _day_report
from lagooncrank.cli import _engine_history
from lagooncrank.cli import _request_outcomes

START_MS = 1_000_000


def line(event: str, after_ms: int = 0, **fields: Any) -> dict[str, Any]:
    return {
        "wall_ms": START_MS + after_ms,
        "node": "n",
        "event": event,
    } | fields


def answered(after_ms: int = 0, **fields: Any) -> dict[str, Any]:
    defaults = {
        "first_ms": 100,
        "target_ms": 300,
        "queued_ms": 0,
        "tried": ["e1"],
        "longest_gap_ms": 50,
        "max_gap_ms": 200,
    }
    return line("request_answered", after_ms, **(defaults | fields))


@pytest.mark.parametrize(
    ("log_line", "expected"),
    [
        pytest.param(answered(), "", id="on-time"),
        pytest.param(
            answered(first_ms=400, queued_ms=200),
            "late: waited for a slot at the entry",
            id="queued",
        ),
        pytest.param(
            answered(first_ms=400, tried=["e1", "e2"]),
            "late: an earlier attempt failed",
            id="retried",
        ),
        pytest.param(
            answered(first_ms=400),
            "late: slow first event of the server",
            id="slow-server",
        ),
        pytest.param(
            answered(longest_gap_ms=500, tried=["e1", "e2"]),
            "late: stream resumed elsewhere",
            id="resumed",
        ),
        pytest.param(
            answered(longest_gap_ms=500),
            "late: pause between two events",
            id="pause",
        ),
        pytest.param(
            answered(max_gap_ms=0, longest_gap_ms=500), "", id="not-a-stream"
        ),
        pytest.param(
            line("request_failed", code="BACKEND_LOST"),
            "failed: BACKEND_LOST",
            id="failed",
        ),
        pytest.param(
            line("caller_left", tried=[]),
            "caller left: before any attempt",
            id="left-while-queued",
        ),
        pytest.param(
            line("caller_left", tried=["e1"]),
            "caller left: during an attempt",
            id="left-while-served",
        ),
    ],
)
def test_first_cause_of_a_request_that_was_not_on_time(
    log_line: dict[str, Any], expected: str
) -> None:
    assert [e.cause for e in _request_outcomes.request_ends([log_line])] == [
        expected
    ]


def test_each_request_of_a_refusal_line_counts() -> None:
    refused = line("request_refused", code="QUEUE_TIMEOUT", requests=["a", "b"])
    ends = list(_request_outcomes.request_ends([refused]))
    assert [e.cause for e in ends] == ["refused: QUEUE_TIMEOUT"] * 2


def reported(server: str, after_ms: int = 0, **fields: Any) -> dict[str, Any]:
    defaults = {
        "server": server,
        "service": "writers",
        "state": "ready",
        "membership": None,
        "staged": ["m"],
        "loaded": [],
    }
    return line("server_changed", after_ms, **(defaults | fields))


def engine_lines() -> list[dict[str, Any]]:
    """Two engines serve from 1 s to 3 s; one more has no weights."""
    change = {"group": "g1", "outcome": "OK"}
    return [
        reported("e1"),
        reported("e2"),
        reported("e3", staged=[]),
        reported("p1", service="desk", staged=[]),
        line(
            "group_moved",
            500,
            phase="forming",
            model="m",
            members=["e1", "e2"],
            **change,
        ),
        line("group_moved", 1_000, phase="serving", **change),
        line("group_moved", 3_000, phase="dissolving", **change),
        line("group_moved", 3_500, phase=None, **change),
    ]


def test_engines_outside_a_serving_replica_are_idle() -> None:
    states = list(_engine_history.EngineHistory().states(engine_lines()))
    shown = [(s.serving, s.ready, s.idle_warm, s.idle_empty) for s in states]
    assert shown[-4:] == [
        ({}, 3, 2, 1),
        ({"m": 1}, 3, 0, 1),
        ({}, 3, 2, 1),
        ({}, 3, 2, 1),
    ]


def test_refused_change_of_a_group_has_no_effect() -> None:
    refused = line(
        "group_moved",
        phase="forming",
        model="m",
        members=["e1"],
        outcome="INSTANCE_TAKEN",
    )
    states = list(_engine_history.EngineHistory().states([refused]))
    assert states[-1].serving == {}


def test_report_sums_up_stranded_engines() -> None:
    lines = [*engine_lines(), answered(0), answered(4_000, first_ms=900)]
    rows = list(_day_report.report(lines, 2_000))
    # All three for 1 s, one for 2 s, all three for 1 s.
    assert rows[-1] == "stranded engine seconds: 8"
    assert any("slow first event" in row for row in rows)


def test_command_reads_log_files(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "entry.log"
    path.write_text(f"  0.1 node {json.dumps(answered())}\nnoise\n")
    result = typer.testing.CliRunner().invoke(_app.app, ["report", str(path)])
    assert result.exit_code == 0
    assert "from second" in result.stdout
    path.write_text("noise\n")
    result = typer.testing.CliRunner().invoke(_app.app, ["report", str(path)])
    assert result.exit_code == 1
