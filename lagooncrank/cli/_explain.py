"""Reconstructs the timeline of a request from the logs of all nodes."""

from collections.abc import Iterable
from collections.abc import Iterator
import json
from typing import Any
from typing import Final

from lagooncrank import decisions

#: Time before a request's first line from which the timeline also includes
#: changes of the servers that the request was sent to, and of its entry.
LOOK_BACK_MS: Final = 5_000
#: Events of one backend server, which the field `server` names.
_SERVER_EVENTS: Final = (decisions.Event.SERVER, decisions.Event.ORDER)
#: Events of the node that wrote the line.
_ENTRY_EVENTS: Final = (
    decisions.Event.STARTED,
    decisions.Event.STOPPING,
    decisions.Event.LOST,
    decisions.Event.REGAINED,
    decisions.Event.DOCUMENT,
    decisions.Event.SERVICE_UNREACHED,
    decisions.Event.SERVICE_REACHED,
    decisions.Event.SERVER_RESTING,
    decisions.Event.SERVER_LEAVING,
)

LogLine = dict[str, Any]


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yields the decision log lines among `texts`; skips all other output."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # Output of another program, or a truncated line.
            continue
        if isinstance(line, dict) and "event" in line and "wall_ms" in line:
            yield line


def request_timeline(request: str, lines: Iterable[LogLine]) -> Iterator[str]:
    """Yields one sentence for each event of a request, in order of time.

    Includes events of the servers and the entry that handled the request.

    Args:
        request: The caller's id of the request.
        lines: Log lines of all nodes, in any order.
    """
    ordered = sorted(lines, key=lambda line: line["wall_ms"])
    own_lines = [line for line in ordered if _concerns_request(line, request)]
    if not own_lines:
        return
    first_ms = own_lines[0]["wall_ms"] - LOOK_BACK_MS
    last_ms = own_lines[-1]["wall_ms"]
    servers = {s for line in own_lines for s in line.get("tried") or ()}
    entries = {line["node"] for line in own_lines}
    for line in ordered:
        if not first_ms <= line["wall_ms"] <= last_ms:
            continue
        if _concerns_request(line, request) or _concerns_server_or_entry(
            line, servers, entries
        ):
            yield _format_line(line, own_lines[0]["wall_ms"])


def _concerns_request(line: LogLine, request: str) -> bool:
    request_ids = line.get("requests") or (line.get("request"),)
    return request in request_ids


def _concerns_server_or_entry(
    line: LogLine, servers: set[str], entries: set[str]
) -> bool:
    event = line["event"]
    if event in _SERVER_EVENTS:
        return line.get("server") in servers
    if event == decisions.Event.GROUP:
        return bool(servers.intersection(line.get("members") or ()))
    return event in _ENTRY_EVENTS and line["node"] in entries


def _format_line(line: LogLine, origin_ms: int) -> str:
    event = line["event"]
    meanings = {e.value: e.meaning for e in decisions.Event}
    hidden = ("wall_ms", "node", "event", "requests")
    fields = ", ".join(
        f"{name}={value}" for name, value in line.items() if name not in hidden
    )
    after_ms = line["wall_ms"] - origin_ms
    meaning = meanings.get(event, event)
    return f"{after_ms:+6d} ms  {line['node']}  {meaning} [{event}] {fields}"
