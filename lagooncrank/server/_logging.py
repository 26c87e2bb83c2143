"""Logs as JSON lines, those of libraries included."""

import json
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
        """Returns the line for `record`; its `extra` become fields."""
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


def set_up(
    stream: TextIO, clock: clocks.Clock, node_id: str, level: str
) -> None:
    """Sends every log record of the process to `stream`."""
    logbook.compat.redirect_logging()
    JsonLinesHandler(stream, clock, node_id, level).push_application()
