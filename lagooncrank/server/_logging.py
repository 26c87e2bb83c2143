"""Logging as JSON lines, including the log records of libraries."""

from collections.abc import Iterator
import contextlib
import json
import logging
from typing import Any
from typing import TextIO

import logbook
import logbook.compat

from lagooncrank import clock as clocks


class JsonLinesHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Writes each log record as one JSON object on one line."""

    def __init__(
        self, stream: TextIO, clock: clocks.Clock, node_id: str, level: str
    ) -> None:
        super().__init__(stream, level=level, bubble=False)
        self._clock = clock
        self._node_id = node_id

    def format(self, record: logbook.LogRecord) -> str:
        """Returns the line for `record`; its `extra` items become fields."""
        fields: dict[str, Any] = {
            "wall_ms": self._clock.wall_ms(),
            "node_id": self._node_id,
            "level": record.level_name,
            "logger": record.channel,
            "message": record.message,
        }
        fields.update(record.extra)
        if record.exc_info:
            fields["exception"] = record.formatted_exception
        return json.dumps(fields, default=str)


@contextlib.contextmanager
def log_json_lines(
    stream: TextIO, clock: clocks.Clock, node_id: str, level: str
) -> Iterator[None]:
    """Writes the log records of the process to `stream` in the context."""
    handler = JsonLinesHandler(stream, clock, node_id, level)
    redirected = logbook.compat.redirected_logging(set_root_logger_level=False)
    with redirected, handler.applicationbound():
        logging.root.setLevel(level)
        yield
