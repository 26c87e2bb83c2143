"""Vocabulary of the decision log: what a line tells and its fields.

A line is a JSON object with `wall_ms`, `node` and `event`, and the fields that
the event has. `docs/OPERATIONS.md` holds the table that `docs_table` returns.
"""

import enum


class Event(enum.StrEnum):
    """What a line tells.

    >>> Event.CUT.value, Event.CUT.fields[0]
    ('answer_cut', 'request')
    """

    meaning: str
    fields: tuple[str, ...]

    def __new__(cls, value: str, meaning: str, *fields: str) -> "Event":
        """Creates a member from its name in the log, meaning and fields."""
        member = str.__new__(cls, value)
        member._value_ = value
        member.meaning = meaning
        member.fields = fields
        return member

    STARTED = (
        "started",
        "The process serves.",
        "role",
        "incarnation",
        "first_start",
    )
    STOPPING = "stopping", "A planned stop began.", "grace_ms"
    CRASHED = "crashed", "A part of the node failed; it stops.", "problem"
    STOPPED = "stopped", "The planned stop ended."
    RELOADED = "reloaded", "The settings changed.", "seeds", "problem"
    LOST = "dependency_lost", "A dependency cannot be reached.", "dependency"
    REGAINED = (
        "dependency_regained",
        "A dependency can be reached again.",
        "dependency",
    )
    REFUSED = (
        "request_refused",
        "Requests ended without having run; those of one cause share a line.",
        "requests",
        "code",
        "reason",
    )
    SENT_AGAIN = (
        "request_sent_again",
        "A request goes to another server.",
        "request",
        "to",
        "failure",
        "queued_ms",
        "tried",
        "age_ms",
    )
    RESUMED = (
        "stream_resumed",
        "A stream broke off and goes on elsewhere.",
        "request",
        "failure",
        "detail",
        "last_event_id",
        "queued_ms",
        "tried",
        "age_ms",
    )
    ANSWERED = (
        "request_answered",
        "An answer was passed on whole.",
        "request",
        "status",
        "first_ms",
        "queued_ms",
        "tried",
        "document",
        "age_ms",
    )
    CUT = (
        "answer_cut",
        "An answer broke off and its connection was closed.",
        "request",
        "code",
        "reason",
        "last_event_id",
        "queued_ms",
        "tried",
        "age_ms",
    )
    FAILED = (
        "request_failed",
        "A request that may have run ended without an answer.",
        "request",
        "code",
        "reason",
        "queued_ms",
        "tried",
        "age_ms",
    )
    CALLER_LEFT = (
        "caller_left",
        "The caller closed its connection.",
        "request",
        "queued_ms",
        "tried",
        "age_ms",
    )
    DOCUMENT = (
        "document_in_force",
        "The node acts by a document from now on.",
        "version",
        "routes",
    )
    DOCUMENT_REFUSED = (
        "document_refused",
        "A document is invalid.",
        "version",
        "problems",
    )
    SERVER = (
        "server_changed",
        "A backend server said something new, or does not answer.",
        "server",
        "state",
        "membership",
        "sequence",
    )
    GROUP = (
        "group_moved",
        "The leader changed a group.",
        "group",
        "epoch",
        "phase",
        "reason",
        "members",
        "outcome",
    )
    ORDER = (
        "order_sent",
        "An engine was given an order.",
        "order",
        "group",
        "epoch",
        "server",
        "status",
    )
    LEADER = (
        "leader_changed",
        "The node leads, or leads no more.",
        "term",
        "leads",
    )
    NODE = ("node_changed", "Other control nodes are known.", "control")
    DROPPED = (
        "lines_dropped",
        "The reader of the log was too slow for so many lines.",
        "lines",
    )


def docs_table() -> str:
    """Returns the Markdown table that `docs/OPERATIONS.md` must hold."""
    rows = ["| event | meaning | fields |", "| --- | --- | --- |"]
    rows += [
        f"| {e.value} | {e.meaning} | {', '.join(e.fields)} |" for e in Event
    ]
    return "\n".join(rows)
