"""Failures of one attempt at a backend server."""

import dataclasses

from lagooncrank.core import retry


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Why an attempt failed, and what the target may have seen of it."""

    kind: retry.FailureKind
    detail: str
    #: Whether any byte of the request may have reached the target.
    bytes_written: bool


class AttemptFailedError(Exception):
    """Ends an attempt at a backend server."""

    def __init__(self, failure: AttemptFailure) -> None:
        self.failure = failure
        super().__init__(f"{failure.kind}: {failure.detail}")


class SuspendedError(Exception):
    """Ends an attempt whose capacity was taken back by admission."""


class DeadlinePassedError(Exception):
    """Ends an attempt whose caller stopped waiting."""
