"""Bursts of lines never block the writer, and dropped lines are counted."""

import json
import os

import hypothesis
from hypothesis import strategies

from lagooncrank import clock
from lagooncrank import decisions
from lagooncrank.server.seeded import _decision_log


def read_all(file: int) -> list[dict[str, object]]:
    os.set_blocking(file, False)
    content = b""
    while True:
        try:
            chunk = os.read(file, 1 << 20)
        except BlockingIOError:
            break
        if not chunk:
            break
        content += chunk
    return [json.loads(text) for text in content.splitlines()]


@hypothesis.given(strategies.lists(strategies.integers(0, 3_000), max_size=30))
def test_slow_reader_loses_lines_but_never_blocks(bursts: list[int]) -> None:
    reader, writer = os.pipe()
    try:
        log = _decision_log.DecisionLog(writer, clock.ManualClock(), "n1")
        written = 0
        for burst in bursts:
            for number in range(burst):
                log.write(decisions.Event.NODE, number=number)
                written += 1
            log.flush()
        found = []
        for _ in range(200):
            found += read_all(reader)
            log.flush()
            log.flush()
        written_lines = [
            e for e in found if e["event"] == decisions.Event.NODE.value
        ]
        dropped = sum(
            int(str(e["lines"]))
            for e in found
            if e["event"] == decisions.Event.DROPPED.value
        )
        assert len(written_lines) + dropped == written
    finally:
        os.close(reader)
        os.close(writer)


def test_refusals_of_one_cause_share_a_line() -> None:
    reader, writer = os.pipe()
    try:
        log = _decision_log.DecisionLog(writer, clock.ManualClock(), "n1")
        for number in range(500):
            log.record_refusal("QUEUE_FULL", "full", f"r{number}")
        log.record_refusal("NO_BACKEND_SERVER", "none", "other")
        log.flush()
        lines = read_all(reader)
        assert len(lines) == 2
        assert len(lines[0]["requests"]) == 500  # type: ignore[arg-type]
    finally:
        os.close(reader)
        os.close(writer)
