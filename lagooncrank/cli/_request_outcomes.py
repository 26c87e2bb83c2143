"""Outcomes of requests, and why they were not on time, from log lines."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum

from lagooncrank import decisions
from lagooncrank.cli import _explain


class Outcome(enum.StrEnum):
    """How one attempt of a caller ended."""

    ON_TIME = "on time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "caller left"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnd:
    """The end of one attempt of a caller."""

    wall_ms: int
    outcome: Outcome
    #: First cause for which the request was not on time; empty if it was.
    cause: str = ""


def request_ends(lines: Iterable[_explain.LogLine]) -> Iterator[RequestEnd]:
    """Yields the end of each request that the lines tell of."""
    for line in lines:
        match line["event"]:
            case decisions.Event.ANSWERED:
                yield _answered(line)
            case decisions.Event.REFUSED:
                cause = f"refused: {line.get('code')}"
                for _ in line.get("requests") or ():
                    yield RequestEnd(line["wall_ms"], Outcome.REFUSED, cause)
            case decisions.Event.FAILED | decisions.Event.CUT:
                cause = f"failed: {line.get('code')}"
                yield RequestEnd(line["wall_ms"], Outcome.FAILED, cause)
            case decisions.Event.CALLER_LEFT:
                cause = _reason_to_leave(line)
                yield RequestEnd(line["wall_ms"], Outcome.LEFT, cause)


def _answered(line: _explain.LogLine) -> RequestEnd:
    cause = _lateness_cause(line)
    outcome = Outcome.LATE if cause else Outcome.ON_TIME
    return RequestEnd(line["wall_ms"], outcome, cause)


def _lateness_cause(line: _explain.LogLine) -> str:
    """Returns the first cause of lateness, or an empty string."""
    target_ms = line.get("target_ms") or 0
    is_first_late = target_ms and line.get("first_ms", 0) > target_ms
    was_retried = len(line.get("tried") or ()) > 1
    if is_first_late:
        if line.get("queued_ms", 0) * 2 > target_ms:
            return "late: waited for a slot at the entry"
        if was_retried:
            return "late: an earlier attempt failed"
        return "late: slow first event of the server"
    max_gap_ms = line.get("max_gap_ms") or 0
    if max_gap_ms and line.get("longest_gap_ms", 0) > max_gap_ms:
        if was_retried:
            return "late: stream resumed elsewhere"
        return "late: pause between two events"
    return ""


def _reason_to_leave(line: _explain.LogLine) -> str:
    if not line.get("tried"):
        return "caller left: before any attempt"
    return "caller left: during an attempt"
