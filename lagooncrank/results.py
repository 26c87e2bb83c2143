"""Numbered result codes and the errors that carry them.

The hundreds digit names the part that decided: 1xx the caller's request,
2xx admission, 3xx routing and backend servers, 4xx calls that may not be
repeated, 5xx configuration, 6xx shared state and peers, 7xx placement,
8xx announcements, 9xx the process itself.
"""

import dataclasses
import enum


class ExecutionStatus(enum.StrEnum):
    """Whether the request that an error answers was run."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ResultCode(enum.IntEnum):
    """Outcome of a request, order or change; `docs/RESULT_CODES.md` lists all.

    Each member carries the HTTP status it is sent with and a one-line meaning.

    >>> ResultCode.MALFORMED_REQUEST.http_status
    400
    """

    http_status: int
    meaning: str

    def __new__(
        cls, number: int, http_status: int, meaning: str
    ) -> "ResultCode":
        """Creates a member from its number, HTTP status and meaning."""
        member = int.__new__(cls, number)
        member._value_ = number
        member.http_status = http_status
        member.meaning = meaning
        return member

    OK = 0, 200, "The request succeeded."

    MALFORMED_REQUEST = 100, 400, "The request body or a header is invalid."
    UNAUTHENTICATED = 101, 401, "The bearer key is missing or unknown."
    FORBIDDEN = 102, 403, "The client account may not use this."
    UNKNOWN_MODEL = 103, 404, "No model service has this name."
    UNKNOWN_SERVICE = 104, 404, "No plain service has this name."
    REQUEST_TOO_LARGE = 105, 413, "The request is over the size limit."
    SENDER_TOO_SLOW = 106, 408, "The request body did not arrive in time."
    READER_TOO_SLOW = 107, 408, "The caller stopped reading its answer."
    CALLER_GONE = 108, 499, "The caller closed its connection."
    UNKNOWN_RESOURCE = 109, 404, "No such path or object."
    METHOD_NOT_ALLOWED = 110, 405, "The path does not take this method."

    QUEUE_FULL = 200, 429, "The client account's queue is full."
    CANNOT_START_IN_TIME = 201, 429, "The request would start too late."
    QUEUE_TIMEOUT = 202, 503, "The request waited past its deadline."
    PREEMPTED = 203, 503, "Borrowed capacity was taken back."

    NO_SERVING_REPLICA = 300, 503, "No replica of the model service serves."
    NO_BACKEND_SERVER = 301, 503, "No backend server offers the service."
    CONNECT_FAILED = 302, 502, "The backend server refused the connection."
    BACKEND_LOST = 303, 502, "The backend server died while it answered."
    FIRST_BYTE_TIMEOUT = 304, 504, "The backend server sent no first byte."
    BETWEEN_BYTES_TIMEOUT = 305, 504, "The backend server fell silent."
    DEADLINE_EXCEEDED = 306, 504, "The request's deadline passed."
    RETRY_BUDGET_SPENT = 307, 503, "The retry budget allows no more attempts."
    REQUEST_QUARANTINED = 308, 422, "This content crashed backend servers."
    BACKEND_PROTOCOL_ERROR = 309, 502, "The backend server's answer is invalid."
    BACKEND_OVERLOADED = 310, 503, "The backend server refused the work."

    KEY_REQUIRED = 400, 400, "The service needs an Idempotency-Key."
    KEY_REUSED = 401, 422, "The key was used with another body."
    CALL_IN_PROGRESS = 402, 409, "The first call with this key still runs."
    OUTCOME_UNKNOWN = 403, 502, "The call may have run; it is not sent again."
    CALL_ALREADY_FINISHED = 404, 200, "The stored answer is given again."
    NOT_THE_OWNER = 405, 409, "Only the owner may change the reservation."
    ANSWER_NOT_KEPT = 406, 409, "The call ran; its answer was not kept."
    LEDGER_FULL = 407, 503, "The call ledger has no room for the account."
    SEND_WINDOW_PASSED = 408, 503, "The reservation lapsed before sending."

    REVISION_CONFLICT = 500, 409, "The base revision is not the current one."
    CHANGE_ID_REUSED = 501, 409, "The change id was used with other content."
    INVALID_DECLARATIONS = 502, 422, "The declarations fail validation."
    CONFIGURATION_STALE = 503, 503, "This entry's configuration lease ended."
    NOT_IN_FORCE_YET = 504, 504, "Some entries have not applied the change."
    NO_CONFIGURATION = 505, 503, "No configuration was applied yet."

    NO_QUORUM = 600, 503, "A majority of voters cannot be reached."
    NOT_LEADER = 601, 503, "Another voter leads."
    PROPOSAL_LOST = 602, 503, "The proposal's fate is not known."
    PEER_UNAUTHENTICATED = 603, 401, "The peer does not hold the shared key."
    PEER_SILENT = 604, 503, "The peer stopped answering."
    STORAGE_FAILED = 605, 500, "The data folder failed; the voter stopped."

    STALE_FENCING_NUMBER = 700, 409, "A newer order was already taken."
    INSTANCE_TAKEN = 701, 409, "The instance belongs to another replica."
    WRONG_EPOCH = 702, 409, "The replica changed since this was decided."
    ORDER_FAILED = 703, 502, "The engine did not carry out the order."
    BELOW_FLOOR = 704, 409, "The move would go below the declared floor."

    INVALID_ANNOUNCEMENT = 800, 400, "The announcement fails validation."
    OLD_INCARNATION = 801, 409, "A newer start of this server announced."

    STOPPING = 900, 503, "This entry is stopping; use another entry."
    INVALID_SETTINGS = 901, 500, "The process settings fail validation."
    INTERNAL_ERROR = 902, 500, "A fault in lagooncrank itself."


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why something was refused, in a form that can be answered and counted."""

    #: Numbered reason.
    code: ResultCode
    #: Sentence for a person, naming the objects involved and what to do.
    reason: str
    #: Whether the request ran.
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN
    #: When asking again may help, or None where it would not.
    retry_after_ms: int | None = None
    #: Revision in force, where a change was made to another one.
    current_revision: int | None = None


class LagooncrankError(Exception):
    """Error that carries a `Refusal`.

    >>> error = LagooncrankError(Refusal(ResultCode.NO_QUORUM, "2 of 3 lost"))
    >>> str(error)
    'NO_QUORUM (600): 2 of 3 lost'
    """

    def __init__(self, refusal: Refusal) -> None:
        self.refusal = refusal
        code = refusal.code
        super().__init__(f"{code.name} ({code.value}): {refusal.reason}")


def error(
    code: ResultCode,
    reason: str,
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN,
) -> LagooncrankError:
    """Returns the error that refuses a request with this code.

    >>> error(ResultCode.QUEUE_FULL, "200 requests wait").refusal.ran
    <ExecutionStatus.NOT_RUN: 'not_run'>
    """
    return LagooncrankError(Refusal(code, reason, ran))


def docs_table() -> str:
    """Returns the Markdown table that `docs/RESULT_CODES.md` must hold."""
    rows = [
        "| code | name | HTTP status | meaning |",
        "| --- | --- | --- | --- |",
    ]
    rows += [
        f"| {c.value} | {c.name} | {c.http_status} | {c.meaning} |"
        for c in ResultCode
    ]
    return "\n".join(rows)
