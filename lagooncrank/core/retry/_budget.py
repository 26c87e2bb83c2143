"""Retries within a budget per account."""

import dataclasses

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import counting
from lagooncrank.core.retry import _policies
from lagooncrank.core.retry import _refusals
from lagooncrank.core.retry import _types

#: Retries that an account may save up, beyond the floor of one minute.
MAX_SAVED_RETRIES = 100.0
#: First and longest wait before another try after a target was full.
REFUSED_DELAY_MS = 25
MAX_REFUSED_DELAY_MS = 200
#: Refused attempts after which a request is given up.
MAX_REFUSALS = 10
MS_PER_MINUTE = 60_000
#: Caller's wait after its retry budget is spent.
RETRY_AFTER_MS = 1_000


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Retries that one account may make now."""

    earned: float
    floor: float
    updated_ms: int

    def refill(self, rules: model.RetryRules, now_ms: int) -> None:
        per_ms = rules.min_retries_per_minute / MS_PER_MINUTE
        self.floor = min(
            float(rules.min_retries_per_minute),
            self.floor + per_ms * (now_ms - self.updated_ms),
        )
        self.updated_ms = now_ms

    def take(self) -> bool:
        """Spends one retry, if there is one."""
        if self.earned >= 1:
            self.earned -= 1
            return True
        if self.floor >= 1:
            self.floor -= 1
            return True
        return False


@_policies.RETRY_POLICIES.register("budget")
class BudgetedRetry:
    """Retries what cannot run twice, while the account's budget lasts.

    Each first attempt earns its account `budget_ratio` of a retry, so that a
    storm of failures adds at most that part to the load; a quiet account may
    always make a few retries a minute. Attempts that a full target refused
    cost it nothing: they are limited in number and pace instead.
    """

    def __init__(
        self, rules: model.RetryRules, counts: counting.EventCounters
    ) -> None:
        self._rules = rules
        self._counts = counts
        self._buckets: dict[model.ClientAccountId, _Bucket] = {}

    @classmethod
    def from_config(cls, config: _policies.RetryConfig) -> "BudgetedRetry":
        """Returns a policy object with the rules of `config`."""
        return cls(config.rules, config.counts)

    def configure(self, rules: model.RetryRules) -> None:
        """Takes new rules into use."""
        self._rules = rules

    def record_first_attempt(self, call: _types.Call, now_ms: int) -> None:
        """Earns the account a part of a retry."""
        bucket = self._bucket(call.account, now_ms)
        bucket.earned = min(
            MAX_SAVED_RETRIES, bucket.earned + self._rules.budget_ratio
        )

    def handle_failure(
        self, call: _types.Call, failure: _types.Failure, now_ms: int
    ) -> _types.Decision:
        """Retries if nothing can run twice, in time and within budget."""
        refusal = self._refusal(call, failure, now_ms)
        if refusal is not None:
            self._counts.count_refusal(refusal.code, call.account)
            return _types.GiveUp(refusal)
        self._counts.count_retry(failure.kind, call.account)
        return _types.Retry(_delay_ms(failure), frozenset({failure.target_id}))

    def _refusal(
        self, call: _types.Call, failure: _types.Failure, now_ms: int
    ) -> results.Refusal | None:
        if _refusals.may_have_run(call, failure):
            return _refusals.unknown_outcome(call, failure)
        if now_ms + _delay_ms(failure) >= call.deadline_ms:
            return _refusals.deadline_passed(call, failure)
        if failure.refusals and failure.kind is _types.FailureKind.REFUSED:
            if failure.refusals >= MAX_REFUSALS:
                return _refusals.attempts_spent(call, failure)
            return None
        if failure.attempts - failure.refusals >= self._rules.max_attempts:
            return _refusals.attempts_spent(call, failure)
        if not self._bucket(call.account, now_ms).take():
            return _refusals.budget_spent(call, failure, RETRY_AFTER_MS)
        return None

    def _bucket(self, account: model.ClientAccountId, now_ms: int) -> _Bucket:
        bucket = self._buckets.get(account)
        if bucket is None:
            floor = float(self._rules.min_retries_per_minute)
            bucket = _Bucket(0.0, floor, now_ms)
            self._buckets[account] = bucket
        bucket.refill(self._rules, now_ms)
        return bucket


def _delay_ms(failure: _types.Failure) -> int:
    """Returns the wait before a retry: none unless a target was full."""
    if failure.kind is not _types.FailureKind.REFUSED:
        return 0
    delay_ms = REFUSED_DELAY_MS << min(failure.attempts - 1, 8)
    return min(delay_ms, MAX_REFUSED_DELAY_MS)
