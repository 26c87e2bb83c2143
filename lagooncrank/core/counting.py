"""Hook through which the core counts refusals and retries by reason."""

from typing import Protocol

from lagooncrank import model
from lagooncrank import results


class Counts(Protocol):
    """Counts events; the server implements it with its metrics."""

    def refused(
        self, code: results.ResultCode, account: model.ClientAccountId
    ) -> None:
        """Counts one refusal of an account's request."""

    def retried(self, reason: str, account: model.ClientAccountId) -> None:
        """Counts one retry; `reason` is the kind of failure before it."""

    def suspended(self, account: model.ClientAccountId) -> None:
        """Counts one request whose borrowed capacity was taken back."""


class NoCounts:
    """Counts nothing."""

    def refused(
        self, code: results.ResultCode, account: model.ClientAccountId
    ) -> None:
        """Ignores a refusal."""

    def retried(self, reason: str, account: model.ClientAccountId) -> None:
        """Ignores a retry."""

    def suspended(self, account: model.ClientAccountId) -> None:
        """Ignores a suspension."""
