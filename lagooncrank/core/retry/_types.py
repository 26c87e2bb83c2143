"""What the retry policy is told and what it decides."""

from collections.abc import Sequence
import dataclasses
import enum
from typing import Protocol

from lagooncrank import model
from lagooncrank import results


class FailureKind(enum.StrEnum):
    """How an attempt failed."""

    CONNECT_FAILED = "connect_failed"
    REFUSED = "refused"
    CONNECTION_LOST = "connection_lost"
    FIRST_BYTE_TIMEOUT = "first_byte_timeout"
    BETWEEN_BYTES_TIMEOUT = "between_bytes_timeout"
    PROTOCOL_ERROR = "protocol_error"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request, over all its attempts."""

    request_id: model.RequestId
    account: model.ClientAccountId
    service: model.ServiceName
    #: Whether a second run does harm.
    repeatable: bool
    #: SHA-256 of the content, without the request id.
    digest: bytes
    #: When the caller stops waiting, on the entry's clock.
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """One failed attempt."""

    kind: FailureKind
    target_id: str
    #: Whether any byte of the request may have reached the target.
    bytes_written: bool
    #: Attempts made so far, this one included.
    attempts: int
    #: Attempts among them that a target refused without running them.
    refusals: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Try again after `delay_ms`, away from the excluded targets."""

    delay_ms: int
    excluded: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller with this refusal."""

    refusal: results.Refusal


Decision = Retry | GiveUp


class RetryPolicy(Protocol):
    """Decides on attempts beyond the first; one object serves one entry."""

    def configure(self, rules: model.RetryRules) -> None:
        """Takes new rules into use."""

    def record_first_attempt(self, call: Call, now_ms: int) -> None:
        """Notes a first attempt, which earns its account retry budget."""

    def handle_failure(
        self, call: Call, failure: Failure, now_ms: int
    ) -> Decision:
        """Decides what follows a failed attempt."""


class Verdict(enum.StrEnum):
    """How a content may be run."""

    CLEAR = "clear"
    #: Run it with no other suspect at the same target.
    ISOLATE = "isolate"
    #: Refuse it; it crashed two targets.
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """A content that was present when a target crashed."""

    digest: bytes
    #: Target id and incarnation of the crashed target.
    victim: str


class SuspicionPolicy(Protocol):
    """Remembers which contents were present at crashes."""

    def verdict(self, digest: bytes, now_ms: int) -> Verdict:
        """Returns how the content may be run."""

    def record_start(self, digest: bytes, victim: str, now_ms: int) -> None:
        """Notes that a content runs at a target."""

    def record_finish(
        self, digest: bytes, victim: str, now_ms: int, completed: bool = False
    ) -> bool:
        """Notes that a content left a target without a crash.

        Returns:
            Whether its mark is cleared by that, for the others to know.
        """

    def targets_with_suspects(
        self, digest: bytes, now_ms: int
    ) -> frozenset[str]:
        """Returns the targets at which another marked content runs."""

    def running_at(self, digest: bytes) -> str | None:
        """Returns a target at which this content runs already."""

    def record_crash(self, victim: str, now_ms: int) -> Sequence[CrashRecord]:
        """Returns the marks that a target's crash leaves, to be shared."""

    def add_record(self, mark: CrashRecord, lapses_ms: int) -> None:
        """Takes a shared mark, on the entry's clock."""

    def clear_records(self, digest: bytes) -> None:
        """Forgets the marks of a content."""
