"""Events of the decision log and their fields.

A log line is a JSON object with `wall_ms`, `node`, `event` and the fields of
the event. `docs/OPERATIONS.md` contains the table that `docs_table` returns.
"""

import enum


class Event(enum.StrEnum):
    """Kind of a log line, with its meaning and fields.

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
        "The process started serving.",
        "role",
        "incarnation",
        "first_start",
    )
    STOPPING = "stopping", "A planned stop began.", "grace_ms"
    CRASHED = "crashed", "A component failed; the node stops.", "problem"
    STOPPED = "stopped", "The planned stop is complete."
    RELOADED = "reloaded", "The settings file was reloaded.", "seeds", "problem"
    LOST = "dependency_lost", "A dependency is unreachable.", "dependency"
    REGAINED = (
        "dependency_regained",
        "A dependency is reachable again.",
        "dependency",
    )
    REFUSED = (
        "request_refused",
        "Requests were refused without running; one line for each cause.",
        "requests",
        "code",
        "reason",
    )
    SENT_AGAIN = (
        "request_sent_again",
        "A request is retried on another backend server.",
        "request",
        "to",
        "failure",
        "charged",
        "entries",
        "heard_ago_ms",
        "queued_ms",
        "tried",
        "age_ms",
    )
    RESUMED = (
        "stream_resumed",
        "A stream failed, or is silent; it is to go on at another server.",
        "request",
        "failure",
        "detail",
        "given_up_for",
        "missed_ms",
        "last_event_id",
        "queued_ms",
        "tried",
        "age_ms",
    )
    READ_LATE = (
        "attempts_read_late",
        "A server that was silent goes on, and reads attempts given up there.",
        "server",
        "service",
        "attempts",
    )
    RUN_KEPT = (
        "silent_run_kept",
        "A request goes on with its silent run: it sends again, or no other "
        "server takes the request.",
        "request",
        "reason",
        "given_up_for",
        "missed_ms",
        "last_event_id",
        "queued_ms",
        "tried",
        "age_ms",
    )
    RUN_LOST = (
        "run_lost",
        "A response was lost: its connection broke, or it was malformed.",
        "request",
        "server",
        "born_ms",
        "group",
        "epoch",
        "events",
        "run_ms",
        "parts",
        "content",
        "tried",
        "age_ms",
    )
    MALFORMED = (
        "response_malformed",
        "Bytes that a server sent for an attempt are no response.",
        "request",
        "server",
        "problem",
        "received",
        "tried",
        "age_ms",
    )
    RETAINED_FAILED = (
        "retained_state_failed",
        "What should outlast a restart could not be read or saved.",
        "problem",
    )
    CRASH_CAUSE_FOUND = (
        "crash_cause_found",
        "Requests with all of these features are refused from now on.",
        "features",
        "crashes",
        "servers",
    )
    CRASH_CAUSE_CLEARED = (
        "crash_cause_cleared",
        "Requests with these features are no longer refused.",
        "features",
        "crashes",
        "servers",
    )
    LIMIT = (
        "limit_changed",
        "A backend server limits its requests from now on, or no longer.",
        "server",
        "born_ms",
        "rate_per_s",
    )
    LIMIT_INVALID = (
        "limit_invalid",
        "A backend server stated a limit that cannot be read; it is ignored.",
        "server",
        "born_ms",
    )
    SERVER_RESTING = (
        "server_resting",
        "A backend server asked for a pause; it gets no requests meanwhile.",
        "server",
        "born_ms",
        "latest_start_ms",
        "rest_ms",
    )
    SERVER_LEAVING = (
        "server_leaving",
        "A backend server said in a response that it leaves.",
        "server",
        "born_ms",
        "latest_start_ms",
    )
    SERVICE_UNREACHED = (
        "service_unreached",
        "This entry has no path to a service; others serve its requests.",
        "service",
        "servers",
        "heard_ago_ms",
    )
    SERVICE_REACHED = (
        "service_reached",
        "This entry has a path to a service again.",
        "service",
        "servers",
        "heard_ago_ms",
    )
    DELEGATED = (
        "request_delegated",
        "A request is sent to another entry, which serves it.",
        "request",
        "to",
        "delegates",
        "has_arrived",
        "possible_runs",
        "tried",
        "age_ms",
    )
    DELEGATION_REFUSED = (
        "delegation_refused",
        "A request that another entry delegated is not accepted.",
        "request",
        "sender",
        "reason",
    )
    NOT_ACCEPTED = (
        "delegation_not_accepted",
        "Another entry does not accept a request; it may be served elsewhere.",
        "request",
        "to",
        "code",
        "delegates",
        "tried",
        "age_ms",
    )
    ANSWERED = (
        "request_answered",
        "A response was forwarded in full.",
        "request",
        "status",
        "first_ms",
        "target_ms",
        "longest_gap_ms",
        "max_gap_ms",
        "queued_ms",
        "tried",
        "document",
        "age_ms",
    )
    CUT = (
        "answer_cut",
        "A response failed midway and its connection was closed.",
        "request",
        "code",
        "given_up_for",
        "missed_ms",
        "reason",
        "last_event_id",
        "queued_ms",
        "tried",
        "age_ms",
    )
    FAILED = (
        "request_failed",
        "A request that may have run failed without a response.",
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
        "sent",
        "lag_ms",
        "queued_ms",
        "tried",
        "age_ms",
    )
    LOOP_LATE = (
        "loop_late",
        "The process did not look at its connections for this long.",
        "lag_ms",
    )
    DOCUMENT = (
        "document_in_force",
        "The node applies a document from now on.",
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
        "A backend server reported a change or does not respond.",
        "server",
        "service",
        "state",
        "membership",
        "staged",
        "loaded",
        "sequence",
    )
    SERVER_HIDDEN = (
        "server_hidden",
        "The newest report of a server was of another writer; its own count.",
        "server",
        "born_ms",
        "sequence",
        "superseded",
    )
    REPORT_REFUSED = (
        "report_refused",
        "A report or deregistration is not of the server that it names.",
        "server",
        "reason",
        "detail",
    )
    GROUP = (
        "group_moved",
        "The leader changed a group.",
        "group",
        "epoch",
        "phase",
        "reason",
        "model",
        "members",
        "is_preload",
        "reports",
        "outcome",
    )
    ORDER = (
        "order_sent",
        "An order was sent to an engine.",
        "order",
        "group",
        "epoch",
        "model",
        "server",
        "status",
        "problem",
    )
    STEP_FAILED = (
        "step_failed",
        "A part of this node's work failed; what is repeated is tried again.",
        "part",
        "subject",
        "problem",
    )
    LEADER = (
        "leader_changed",
        "The node became the leader or lost leadership.",
        "term",
        "leads",
    )
    VOTERS = (
        "voters_changed",
        "The voter set in the log of this control node changed.",
        "voters",
        "learners",
    )
    NODE = (
        "node_changed",
        "The set of known control nodes changed.",
        "control",
    )
    DROPPED = (
        "lines_dropped",
        "Log lines were dropped because their reader was too slow.",
        "lines",
    )


def docs_table() -> str:
    """Returns the Markdown table that `docs/OPERATIONS.md` must contain."""
    rows = ["| event | meaning | fields |", "| --- | --- | --- |"]
    rows += [
        f"| {e.value} | {e.meaning} | {', '.join(e.fields)} |" for e in Event
    ]
    return "\n".join(rows)
