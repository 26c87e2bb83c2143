"""Hook through which the core counts refusals and retries by reason."""

from typing import Protocol

from lagooncrank import model
from lagooncrank import results


class EventCounters(Protocol):
    """Counts events; the server implements it with its metrics."""

    def count_refusal(
        self, code: results.ResultCode, account: model.ClientAccountId
    ) -> None:
        """Counts one refusal of an account's request."""

    def count_retry(self, reason: str, account: model.ClientAccountId) -> None:
        """Counts one retry; `reason` is the kind of failure before it."""

    def count_suspension(self, account: model.ClientAccountId) -> None:
        """Counts one request whose borrowed capacity was taken back."""


class NullEventCounters:
    """Counts nothing."""

    def count_refusal(
        self, code: results.ResultCode, account: model.ClientAccountId
    ) -> None:
        """Ignores a refusal."""

    def count_retry(self, reason: str, account: model.ClientAccountId) -> None:
        """Ignores a retry."""

    def count_suspension(self, account: model.ClientAccountId) -> None:
        """Ignores a suspension."""
