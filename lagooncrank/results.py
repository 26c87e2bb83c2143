"""Numeric result codes and the exception that carries them.

The hundreds digit is the area of the result: 1xx the caller's request,
2xx admission, 3xx routing and backend servers, 4xx at-most-once calls,
5xx configuration, 6xx shared state and peers, 7xx placement, 8xx
announcements, 9xx the process itself.
"""

import dataclasses
import enum


class ExecutionStatus(enum.StrEnum):
    """Whether a refused or failed request was executed."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ResultCode(enum.IntEnum):
    """Outcome of a request, order or change, listed in `docs/RESULT_CODES.md`.

    Each member has the HTTP status of its responses and a one-line meaning.

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
    FORBIDDEN = 102, 403, "The client account lacks access."
    UNKNOWN_MODEL = 103, 404, "No model service has this name."
    UNKNOWN_SERVICE = 104, 404, "No plain service has this name."
    REQUEST_TOO_LARGE = 105, 413, "The request exceeds the size limit."
    SENDER_TOO_SLOW = 106, 408, "The request body did not arrive in time."
    READER_TOO_SLOW = 107, 408, "The caller stopped reading the response."
    CALLER_GONE = 108, 499, "The caller closed its connection."
    UNKNOWN_RESOURCE = 109, 404, "No such path or object."
    METHOD_NOT_ALLOWED = 110, 405, "The path does not support this method."

    QUEUE_FULL = 200, 429, "The client account's queue is full."
    CANNOT_START_IN_TIME = 201, 429, "The request cannot start by its deadline."
    QUEUE_TIMEOUT = 202, 503, "The request was queued past its deadline."
    PREEMPTED = 203, 503, "Borrowed capacity was reclaimed."
    MEMORY_SPENT = 204, 503, "The node has no memory left for the request."

    NO_SERVING_REPLICA = 300, 503, "The model service has no serving replica."
    NO_BACKEND_SERVER = 301, 503, "The service has no available backend server."
    CONNECT_FAILED = 302, 502, "Connecting to the backend server failed."
    BACKEND_LOST = 303, 502, "The backend server failed during the request."
    FIRST_BYTE_TIMEOUT = 304, 504, "The backend server did not respond in time."
    BETWEEN_BYTES_TIMEOUT = 305, 504, "The backend server's response stalled."
    DEADLINE_EXCEEDED = 306, 504, "The request exceeded its deadline."
    RETRY_BUDGET_SPENT = 307, 503, "The retry budget allows no more attempts."
    REQUEST_QUARANTINED = 308, 422, "This content crashed backend servers."
    BACKEND_PROTOCOL_ERROR = 309, 502, "The backend response is invalid."
    BACKEND_OVERLOADED = 310, 503, "The backend server refused the request."
    CRASH_SUSPECTED = 311, 503, "Requests like this one crash backend servers."
    SERVER_LIMITED = 312, 503, "The backend servers limit their requests."
    DELEGATION_REFUSED = 313, 503, "The other entry cannot serve it either."
    BACKEND_RESTING = 314, 503, "The backend servers asked for a pause."
    SERVICE_UNREACHED = 315, 503, "No entry has a path to the backend servers."

    KEY_REQUIRED = 400, 400, "The service requires an Idempotency-Key."
    KEY_REUSED = 401, 422, "The key was used with another request body."
    CALL_IN_PROGRESS = 402, 409, "The first call with this key is in progress."
    OUTCOME_UNKNOWN = 403, 502, "The call may have run; it is not retried."
    CALL_ALREADY_FINISHED = 404, 200, "The stored response is returned."
    NOT_THE_OWNER = 405, 409, "Only the owner may change the reservation."
    ANSWER_NOT_KEPT = 406, 409, "The call ran; its response was not stored."
    LEDGER_FULL = 407, 503, "The account's share of the call ledger is full."
    SEND_WINDOW_PASSED = 408, 503, "The reservation expired before sending."

    REVISION_CONFLICT = 500, 409, "The base revision is not the current one."
    CHANGE_ID_REUSED = 501, 409, "The change id was used with other content."
    INVALID_DECLARATIONS = 502, 422, "The declarations fail validation."
    CONFIGURATION_STALE = 503, 503, "The entry's configuration lease expired."
    NOT_IN_FORCE_YET = 504, 504, "Some entries have not applied the change."
    NO_CONFIGURATION = 505, 503, "No configuration has been applied yet."

    NO_QUORUM = 600, 503, "A majority of voters is unreachable."
    NOT_LEADER = 601, 503, "Another voter is the leader."
    PROPOSAL_LOST = 602, 503, "The outcome of the proposal is unknown."
    PEER_UNAUTHENTICATED = 603, 401, "The peer does not hold the shared key."
    PEER_SILENT = 604, 503, "The peer stopped responding."
    STORAGE_FAILED = 605, 500, "Durable storage failed; the voter stopped."

    STALE_FENCING_NUMBER = 700, 409, "A newer order was already accepted."
    INSTANCE_TAKEN = 701, 409, "The instance belongs to another replica."
    WRONG_EPOCH = 702, 409, "The replica has changed since the decision."
    ORDER_FAILED = 703, 502, "The engine failed to execute the order."
    BELOW_FLOOR = 704, 409, "The change would go below the replica floor."

    INVALID_ANNOUNCEMENT = 800, 400, "The announcement fails validation."
    OLD_INCARNATION = 801, 409, "The backend server has restarted since."

    STOPPING = 900, 503, "This entry is stopping; use another entry."
    INVALID_SETTINGS = 901, 500, "The process settings fail validation."
    INTERNAL_ERROR = 902, 500, "An internal error in lagooncrank."


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Reason for refusing a request, order or change."""

    code: ResultCode
    #: Human-readable sentence: the objects involved and the remedy.
    reason: str
    #: Whether the request was executed.
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN
    #: Time after which a retry may succeed; None if a retry cannot help.
    retry_after_ms: int | None = None
    #: Current revision, if a change was based on another one.
    current_revision: int | None = None


class LagooncrankError(Exception):
    """Exception that carries a `Refusal`.

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
    """Returns the exception for a refusal with this code.

    >>> error(ResultCode.QUEUE_FULL, "200 requests wait").refusal.ran
    <ExecutionStatus.NOT_RUN: 'not_run'>
    """
    return LagooncrankError(Refusal(code, reason, ran))


def docs_table() -> str:
    """Returns the Markdown table that `docs/RESULT_CODES.md` must contain."""
    rows = [
        "| code | name | HTTP status | meaning |",
        "| --- | --- | --- | --- |",
    ]
    rows += [
        f"| {c.value} | {c.name} | {c.http_status} | {c.meaning} |"
        for c in ResultCode
    ]
    return "\n".join(rows)
