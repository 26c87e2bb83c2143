"""Header of requests that one entry delegates to another.

It authenticates the delegating entry by the key that all nodes share, and
carries what the entry has decided about the request: the caller's key itself
is not passed on. The response states the outcome in a header of its own.
"""

import base64
import binascii
import dataclasses
import hashlib
import hmac
from typing import Final

import msgspec
import multidict

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import responders
from lagooncrank.server.seeded import _adapter

#: Name of the header of a delegated request.
REQUEST_HEADER: Final = "Lagooncrank-Delegated"
#: Name of the header of its response.
OUTCOME_HEADER: Final = "Lagooncrank-Outcome"
TAG_BYTES: Final = 16
#: Changes with the format of the header.
_PURPOSE: Final = b"lagooncrank-delegation-1"


class DelegationError(Exception):
    """A delegated request is not authentic or cannot be decoded."""

    def __init__(self, problem: str) -> None:
        self.problem = problem
        super().__init__(
            f"{problem}; check the shared key and the version of both entries"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class DelegatedRequest:
    """What the delegating entry states about a request."""

    #: Node id of the entry that delegates.
    sender: model.NodeId
    #: Delegation address of the entry that is to serve.
    receiver: str
    #: Client account that the caller's key belongs to; None if it has none.
    account: model.ClientAccountId | None
    service: model.ServiceName
    #: Version of the document that the request was admitted under.
    document_version: int
    #: Time since the request arrived at the sender.
    elapsed_ms: int
    #: Time until its deadline.
    remaining_ms: int
    #: Attempts so far in which a backend server may have run the request.
    possible_runs: int
    #: Digest of the request line and the body.
    content_digest: str
    #: Token of notices of further runs; earlier builds state none and would
    #: pass the notices on.
    notice_token: str = ""
    #: Whether its last run was given up for a silence of its server; earlier
    #: builds do not state it.
    needs_live_server: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How the entry that served a delegated request ended it."""

    #: Attempts in which a backend server may have run it, including those that
    #: the sender stated.
    possible_runs: int
    #: Result code of a refusal; OK for a backend server's response.
    code: results.ResultCode = results.ResultCode.OK
    ran: results.ExecutionStatus = results.ExecutionStatus.RAN
    retry_after_ms: int | None = None
    #: Process that the response comes from, if it says that it is leaving.
    leaving_server: responders.Process | None = None
    #: Whether a backend server may have received it from that entry; earlier
    #: builds do not state it.
    has_arrived: bool = False

    @classmethod
    def of_refusal(
        cls,
        refusal: results.Refusal,
        possible_runs: int = 0,
        *,
        has_arrived: bool = False,
    ) -> "Outcome":
        """Returns the outcome of a refused request."""
        return cls(
            possible_runs,
            refusal.code,
            refusal.ran,
            refusal.retry_after_ms,
            has_arrived=has_arrived,
        )

    def encode(self) -> str:
        """Returns the value of the response header."""
        return msgspec.json.encode(self).decode()

    def add_to(self, headers: "multidict.CIMultiDict[str]") -> None:
        """Adds the outcome to the headers of a response."""
        headers.add(OUTCOME_HEADER, self.encode())

    @classmethod
    def decode(cls, text: str) -> "Outcome":
        """Decodes the value of a response header.

        Raises:
            DelegationError: It cannot be decoded.
        """
        try:
            return msgspec.json.decode(text, type=cls)
        except (msgspec.MsgspecError, UnicodeError) as error:
            raise DelegationError(f"unreadable outcome: {error}") from error


def content_digest(request_head: _adapter.RequestHead, body: bytes) -> str:
    """Returns the digest of a request line, its host and its body."""
    fields = (request_head.method, request_head.target, request_head.host)
    digest = hashlib.blake2b("\0".join(fields).encode(), digest_size=TAG_BYTES)
    digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()


class DelegationCodec:
    """Encodes and authenticates the header of delegated requests."""

    def __init__(self, shared_key: bytes) -> None:
        self._shared_key = shared_key

    def encode(self, delegated: DelegatedRequest) -> str:
        """Returns the value of the request header."""
        content = msgspec.json.encode(delegated)
        return base64.b64encode(self._tag(content) + content).decode()

    def decode(self, text: str | None, receiver: str) -> DelegatedRequest:
        """Decodes and authenticates the value of a request header.

        Args:
            text: Value of the header; None if there is none.
            receiver: Delegation address of this entry.

        Raises:
            DelegationError: It is missing, not authentic, or for another entry.
        """
        if text is None:
            raise DelegationError(f"there is no {REQUEST_HEADER}")
        try:
            data = base64.b64decode(text, validate=True)
        except (binascii.Error, ValueError) as error:
            raise DelegationError(f"unreadable header: {error}") from error
        tag, content = data[:TAG_BYTES], data[TAG_BYTES:]
        if not hmac.compare_digest(tag, self._tag(content)):
            raise DelegationError("the authentication code is wrong")
        try:
            delegated = msgspec.json.decode(content, type=DelegatedRequest)
        except msgspec.MsgspecError as error:
            raise DelegationError(f"unreadable header: {error}") from error
        if delegated.receiver != receiver:
            raise DelegationError(f"it is for {delegated.receiver!r}")
        return delegated

    def _tag(self, content: bytes) -> bytes:
        return hashlib.blake2b(
            content,
            digest_size=TAG_BYTES,
            key=hashlib.blake2b(self._shared_key).digest(),
            person=_PURPOSE[:16],
        ).digest()
