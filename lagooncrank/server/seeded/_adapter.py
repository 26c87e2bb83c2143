"""Interfaces that an adapter implements, and the types that they exchange.

An adapter translates HTTP headers, operators' documents and orders to engines
to and from the formats of one hosting provider.
"""

from collections.abc import Sequence
import dataclasses
from typing import Final
from typing import Protocol

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import groups
from lagooncrank.core import holds
from lagooncrank.core import limits

#: Header fields in their original order and case.
Headers = tuple[tuple[str, str], ...]

#: Lowest HTTP status that is not a success.
FIRST_ERROR_STATUS: Final = 300


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """A caller's request without its body."""

    #: The caller's id for this attempt; empty if it sent none.
    attempt_id: str
    method: str
    #: Request target (path and query) as received.
    target: str
    host: str
    #: Key of a client account, if any.
    key: str | None = None
    #: Time that the caller allows for the response; None if not stated.
    deadline_ms: int | None = None
    model_name: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    #: Ids of the parts of the prompt, in order. Requests share parts; the last
    #: part belongs to the request itself or to its session.
    prompt_parts: tuple[str, ...] = ()
    #: Id of the last event that the caller received; None for a new stream.
    last_event_id: int | None = None
    #: Headers to forward to the backend server.
    forwarded_headers: Headers = ()

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    def without_header(self, name: str) -> "RequestHead":
        """Returns the request without a header, given in lower case."""
        kept = [(n, v) for n, v in self.forwarded_headers if n.lower() != name]
        return dataclasses.replace(self, forwarded_headers=tuple(kept))

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Parts of the prompt that other requests may share."""
        return self.prompt_parts[:-1]


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """Headers that this system adds to a request for a backend server."""

    server_id: model.BackendServerId
    deadline_ms: int
    account: model.ClientAccountId | None = None
    #: 0 is the most urgent, 9 the least.
    priority: int | None = None
    last_event_id: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """A backend server's response without its body."""

    status: int
    attempt_id: str
    #: Whether it has a backend server's signature.
    is_signed: bool
    #: Whether the server states that it did not run the request.
    is_not_run: bool
    #: Whether the body has a content encoding, or a transfer coding that the
    #: HTTP library does not decode.
    is_encoded: bool
    #: Headers to return to the caller.
    forwarded_headers: Headers
    #: Whether it states that the server did not run the request, beside a
    #: status of requests that were run.
    is_contradictory: bool = False
    #: Whether another server than the expected one responded.
    is_other_server: bool = False
    #: Limit of the server's requests from all entries together.
    limit: limits.StatedLimit = limits.UNLIMITED
    #: Whether the server takes new requests from this entry.
    availability: holds.StatedAvailability = holds.NOTHING_STATED


class MalformedRequestError(Exception):
    """A header of a caller's request is malformed."""


class InvalidDocumentError(Exception):
    """An operator's document cannot be decoded or is invalid."""

    def __init__(self, problems: Sequence[str]) -> None:
        self.problems = tuple(problems)
        super().__init__("; ".join(self.problems))


class HttpCodec(Protocol):
    """Decodes and encodes the headers of requests and responses."""

    def decode_request(
        self, method: str, target: str, headers: Headers
    ) -> RequestHead:
        """Decodes a caller's request.

        Raises:
            MalformedRequestError: A header has an invalid value.
        """

    def backend_request_headers(
        self, request_head: RequestHead, metadata: ForwardingMetadata
    ) -> Headers:
        """Returns the headers of a request to a backend server."""

    def decode_response(self, status: int, headers: Headers) -> ResponseHead:
        """Decodes a backend server's response."""

    def refusal_headers(
        self, request_head: RequestHead | None, refusal: results.Refusal
    ) -> Headers:
        """Returns the headers of a response that refuses a request."""


class DocumentCodec(Protocol):
    """Decodes operators' documents."""

    def check(self, content: bytes) -> None:
        """Checks that a whole document can be read, also unused parts.

        Raises:
            InvalidDocumentError: The document cannot be read in full.
        """

    def decode(self, content: bytes) -> model.ServingConfig:
        """Decodes a document.

        Raises:
            InvalidDocumentError: The document cannot be decoded.
        """


class EngineClient(Protocol):
    """Sends orders to engines."""

    async def send(
        self, order: groups.Order, token: groups.FencingToken
    ) -> "OrderOutcome":
        """Sends an order with the token of its decision."""

    async def stage(
        self, order: groups.StageOrder, token: groups.FencingToken
    ) -> "OrderOutcome":
        """Orders an engine's host to stage the weights of a model."""

    async def is_alive(self, member: model.GroupMember) -> bool:
        """Probes an engine; returns whether it responds.

        The caller limits the time.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class OrderOutcome:
    """Outcome of an order."""

    #: HTTP status; 0 if there was no response.
    status: int
    #: Why there was no response; empty if there was one.
    problem: str = ""
