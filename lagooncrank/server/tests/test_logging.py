import io
import json
import logging

import logbook

from lagooncrank import clock as clocks
from lagooncrank.server import _logging


def test_records_are_json_lines_with_their_fields() -> None:
    stream = io.StringIO()
    clock = clocks.ManualClock(wall_offset_ms=5)
    handler = _logging.JsonLinesHandler(stream, clock, "n1", "INFO")
    log = logbook.Logger("part")
    with handler.applicationbound():
        log.debug("not written")
        log.info("accepted {}", "x", extra={"request_id": 'a"\n'})
        try:
            raise ValueError("broken")
        except ValueError:
            log.exception("failed")
    first, second = map(json.loads, stream.getvalue().splitlines())
    assert first == {
        "wall_ms": 5,
        "node_id": "n1",
        "level": "INFO",
        "logger": "part",
        "message": "accepted x",
        "request_id": 'a"\n',
    }
    assert "ValueError: broken" in second["exception"]


def test_library_records_are_json_lines() -> None:
    stream = io.StringIO()
    with _logging.log_json_lines(stream, clocks.ManualClock(), "n1", "INFO"):
        logging.getLogger("library").warning("value %s", "x")
        logging.getLogger("library").debug("not written")
    assert json.loads(stream.getvalue())["message"] == "value x"
