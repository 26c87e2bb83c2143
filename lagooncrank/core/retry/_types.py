"""Types and protocols of the retry and suspicion policies."""

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
    """A caller's request, which may need several attempts."""

    request_id: model.RequestId
    account: model.ClientAccountId
    service: model.ServiceName
    #: Whether the request may be executed more than once.
    repeatable: bool
    #: SHA-256 of the content, without the request id.
    digest: bytes
    #: Time at which the caller stops waiting, on the entry's clock.
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """One failed attempt."""

    kind: FailureKind
    target_id: str
    #: Whether any byte of the request may have reached the target.
    bytes_written: bool
    #: Attempts made so far, including this one.
    attempts: int
    #: How many of those attempts a target refused without executing them.
    refusals: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Decision to retry after `delay_ms` on a target that is not excluded."""

    delay_ms: int
    excluded: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Decision to answer the caller with a refusal."""

    refusal: results.Refusal


Decision = Retry | GiveUp


class RetryPolicy(Protocol):
    """Decides whether failed attempts are retried; one object per entry."""

    def configure(self, rules: model.RetryRules) -> None:
        """Replaces the rules."""

    def record_first_attempt(self, call: Call, now_ms: int) -> None:
        """Records a first attempt, which adds to the account's budget."""

    def handle_failure(
        self, call: Call, failure: Failure, now_ms: int
    ) -> Decision:
        """Decides whether to retry after a failed attempt."""


class Verdict(enum.StrEnum):
    """Whether a content may run, and with which restriction."""

    CLEAR = "clear"
    #: Run it on a target without other suspect contents.
    ISOLATE = "isolate"
    #: Refuse it, because too many targets crashed while it was running.
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """A content that was running on a target when the target crashed."""

    digest: bytes
    #: Target id and incarnation of the crashed target.
    victim: str


class SuspicionPolicy(Protocol):
    """Tracks which contents were running when targets crashed.

    A content is named by its SHA-256 digest, a target by its id and
    incarnation.
    """

    def verdict(self, digest: bytes, now_ms: int) -> Verdict:
        """Returns whether the content may run, and with which restriction."""

    def record_start(self, digest: bytes, target: str, now_ms: int) -> None:
        """Records that a content started to run on a target."""

    def record_finish(
        self, digest: bytes, target: str, now_ms: int, completed: bool = False
    ) -> bool:
        """Records that a run of a content ended without a crash.

        Returns:
            Whether this cleared the content's crash records, in which case the
            other entries must be notified.
        """

    def targets_with_suspects(
        self, digest: bytes, now_ms: int
    ) -> frozenset[str]:
        """Returns the targets on which another suspect content is running."""

    def running_target(self, digest: bytes) -> str | None:
        """Returns a target on which this content is running already."""

    def record_crash(self, target: str, now_ms: int) -> Sequence[CrashRecord]:
        """Records a crash and returns the records to share between entries."""

    def add_record(self, record: CrashRecord, expires_ms: int) -> None:
        """Adds a shared crash record.

        Args:
            record: The crash record.
            expires_ms: When it expires, on the entry's clock.
        """

    def clear_records(self, digest: bytes) -> None:
        """Removes all crash records of a content."""
