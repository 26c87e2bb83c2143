"""Failures of one attempt at a backend server."""

import dataclasses

from lagooncrank.core import retry


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailure:
    """How an attempt failed and whether the target may have received it."""

    kind: retry.FailureKind
    detail: str
    #: Whether any byte of the request may have reached the target.
    bytes_written: bool


class AttemptFailedError(Exception):
    """Raised when an attempt at a backend server fails."""

    def __init__(self, failure: AttemptFailure) -> None:
        self.failure = failure
        super().__init__(f"{failure.kind}: {failure.detail}")


class SuspendedError(Exception):
    """Raised when admission suspends a request during an attempt."""


class DeadlinePassedError(Exception):
    """Raised when the caller's deadline passes during an attempt."""
