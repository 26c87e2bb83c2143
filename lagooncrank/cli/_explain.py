"""Tells the story of one request from the decision logs of all nodes."""

from collections.abc import Iterable
from collections.abc import Iterator
import json
from typing import Any
from typing import Final

from lagooncrank import decisions

#: Time before a request's first line within which changes of the servers that
#: it met, and of its entry, belong to its story.
LOOK_BACK_MS: Final = 5_000
#: Events on one subject, with the field that names it.
_SERVER_EVENTS: Final = (decisions.Event.SERVER, decisions.Event.ORDER)
_ENTRY_EVENTS: Final = (
    decisions.Event.STARTED,
    decisions.Event.STOPPING,
    decisions.Event.LOST,
    decisions.Event.REGAINED,
    decisions.Event.DOCUMENT,
)

Line = dict[str, Any]


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yields the log lines among other output."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # Output of other programs, or a line that was cut off.
            continue
        if isinstance(line, dict) and "event" in line and "wall_ms" in line:
            yield line


def request_timeline(request: str, lines: Iterable[Line]) -> Iterator[str]:
    """Yields what happened to a request, in order, with its background.

    Args:
        request: The caller's id of the request.
        lines: Log lines of all nodes, in any order.
    """
    ordered = sorted(lines, key=lambda line: line["wall_ms"])
    own = [line for line in ordered if _names_request(line, request)]
    if not own:
        return
    first_ms = own[0]["wall_ms"] - LOOK_BACK_MS
    last_ms = own[-1]["wall_ms"]
    servers = {s for line in own for s in line.get("tried") or ()}
    entries = {line["node"] for line in own}
    for line in ordered:
        if not first_ms <= line["wall_ms"] <= last_ms:
            continue
        if _names_request(line, request) or _is_background(
            line, servers, entries
        ):
            yield _format_line(line, own[0]["wall_ms"])


def _names_request(line: Line, request: str) -> bool:
    named = line.get("requests") or (line.get("request"),)
    return request in named


def _is_background(line: Line, servers: set[str], entries: set[str]) -> bool:
    event = line["event"]
    if event in _SERVER_EVENTS:
        return line.get("server") in servers
    if event == decisions.Event.GROUP:
        return bool(servers.intersection(line.get("members") or ()))
    return event in _ENTRY_EVENTS and line["node"] in entries


def _format_line(line: Line, zero_ms: int) -> str:
    event = line["event"]
    meanings = {e.value: e.meaning for e in decisions.Event}
    hidden = ("wall_ms", "node", "event", "requests")
    fields = ", ".join(
        f"{name}={value}" for name, value in line.items() if name not in hidden
    )
    after_ms = line["wall_ms"] - zero_ms
    meaning = meanings.get(event, event)
    return f"{after_ms:+6d} ms  {line['node']}  {meaning} [{event}] {fields}"
