"""Interface through which the core counts refusals, retries and suspensions."""

from typing import Protocol

from lagooncrank import model
from lagooncrank import results


class EventCounters(Protocol):
    """Counters of events per client account; implemented by the metrics."""

    def count_refusal(
        self, code: results.ResultCode, account: model.ClientAccountId
    ) -> None:
        """Counts one refused request of an account."""

    def count_retry(self, reason: str, account: model.ClientAccountId) -> None:
        """Counts one retry; `reason` is the kind of failure before it."""

    def count_suspension(self, account: model.ClientAccountId) -> None:
        """Counts one running request that lost its borrowed capacity."""


class NullEventCounters:
    """Implementation that discards every event."""

    def count_refusal(
        self, code: results.ResultCode, account: model.ClientAccountId
    ) -> None:
        """Ignores a refusal."""

    def count_retry(self, reason: str, account: model.ClientAccountId) -> None:
        """Ignores a retry."""

    def count_suspension(self, account: model.ClientAccountId) -> None:
        """Ignores a suspension."""
