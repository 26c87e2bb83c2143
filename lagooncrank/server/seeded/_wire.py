"""What an adapter translates: calls, answers, reports, documents, orders."""

from collections.abc import Sequence
import dataclasses
from typing import Final
from typing import Protocol

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import groups

#: Header lines in the order and case in which they came.
Headers = tuple[tuple[str, str], ...]

#: First status that is not an answer of success.
FIRST_ERROR_STATUS: Final = 300


@dataclasses.dataclass(frozen=True, slots=True)
class CallHead:
    """Everything of a caller's request but its body."""

    #: The caller's id of this attempt; empty if it sent none.
    attempt_id: str
    method: str
    #: Path and query as they came.
    target: str
    host: str
    key: str | None = None
    #: How long the caller waits; None if it does not say.
    deadline_ms: int | None = None
    model_name: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    #: Id of the last event that the caller has; None for a new stream.
    last_event_id: int | None = None
    #: Lines that go on to the backend server.
    passed_on: Headers = ()

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(frozen=True, slots=True)
class SendMarks:
    """What the system adds to a request for a backend server."""

    server_id: model.BackendServerId
    deadline_ms: int
    account: model.ClientAccountId | None = None
    #: 0 is the most urgent, 9 the least.
    priority: int | None = None
    last_event_id: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Everything of a backend server's answer but its body."""

    status: int
    attempt_id: str
    #: Whether it bears a backend server's signature.
    is_signed: bool
    #: Whether the server states that it did not run the request.
    is_not_run: bool
    is_encoded: bool
    #: Lines that go back to the caller.
    passed_on: Headers


class MalformedCallError(Exception):
    """A header of a caller's request cannot be read."""


class InvalidDocumentError(Exception):
    """An operator's document cannot be read or is invalid."""

    def __init__(self, problems: Sequence[str]) -> None:
        self.problems = tuple(problems)
        super().__init__("; ".join(self.problems))


class CallCodec(Protocol):
    """Headers of requests and answers."""

    def read_call(self, method: str, target: str, headers: Headers) -> CallHead:
        """Decodes a caller's request.

        Raises:
            MalformedCallError: A header has no valid value.
        """

    def send_headers(self, call: CallHead, marks: SendMarks) -> Headers:
        """Returns the header lines for a backend server."""

    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Decodes a backend server's answer."""

    def refusal_headers(
        self, call: CallHead | None, refusal: results.Refusal
    ) -> Headers:
        """Returns the header lines of a refusal."""


class DocumentCodec(Protocol):
    """Documents of operators."""

    def read(self, content: bytes) -> model.ServingConfig:
        """Decodes a document.

        Raises:
            InvalidDocumentError: It cannot be read in full.
        """


class EngineClient(Protocol):
    """Sends orders to engines."""

    async def send(self, order: groups.Order, term: int) -> "OrderOutcome":
        """Sends one order, fenced by the leader's term."""

    async def stage(
        self, stage: groups.StageOrder, term: int
    ) -> "OrderOutcome":
        """Has an engine's host load a model."""

    async def is_alive(self, member: model.GroupMember) -> bool:
        """Asks an engine whether it still answers."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderOutcome:
    """What became of an order."""

    #: HTTP status; 0 without an answer.
    status: int
