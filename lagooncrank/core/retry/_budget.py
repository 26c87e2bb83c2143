"""Retry policy with a retry budget for each client account."""

import dataclasses

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import counting
from lagooncrank.core.retry import _policies
from lagooncrank.core.retry import _refusals
from lagooncrank.core.retry import _types

#: Most retries that an account can accumulate from its first attempts. The
#: guaranteed retries of one minute come on top of these.
MAX_EARNED_RETRIES = 100.0
#: Delay after a refused first attempt; doubles with every further attempt, up
#: to the maximum.
BACKOFF_MS = 25
MAX_BACKOFF_MS = 200
#: Refused attempts after which the policy gives up.
MAX_REFUSED_ATTEMPTS = 10
MS_PER_MINUTE = 60_000
#: Retry-After of a call whose account has no retry budget left.
RETRY_AFTER_MS = 1_000


@dataclasses.dataclass(slots=True)
class _RetryBucket:
    """Retry budget of one account, as a pair of token buckets."""

    #: Retries earned by first attempts.
    earned: float
    #: Retries left of the minimum that every account has per minute.
    guaranteed: float
    updated_ms: int

    def refill(self, rules: model.RetryRules, now_ms: int) -> None:
        """Adds the guaranteed retries for the time since the last refill."""
        per_ms = rules.min_retries_per_minute / MS_PER_MINUTE
        self.guaranteed = min(
            float(rules.min_retries_per_minute),
            self.guaranteed + per_ms * (now_ms - self.updated_ms),
        )
        self.updated_ms = now_ms

    def try_spend(self) -> bool:
        """Spends one retry; returns False if there is none left."""
        if self.earned >= 1:
            self.earned -= 1
            return True
        if self.guaranteed >= 1:
            self.guaranteed -= 1
            return True
        return False


@_policies.RETRY_POLICIES.register("budget")
class BudgetedRetry:
    """Retries failed attempts within the budget of the client account.

    Each first attempt adds `budget_ratio` of a retry to the budget, so that
    retries increase the load by at most that fraction when many requests fail
    at once. An account with little traffic can always make a few retries a
    minute. An attempt that an overloaded target refused does not use the
    budget; the number of such attempts is limited, and they are delayed.
    """

    def __init__(
        self, rules: model.RetryRules, counters: counting.EventCounters
    ) -> None:
        self._rules = rules
        self._counters = counters
        self._buckets: dict[model.ClientAccountId, _RetryBucket] = {}

    @classmethod
    def from_config(cls, config: _policies.RetryConfig) -> "BudgetedRetry":
        """Returns a policy object with the rules of `config`."""
        return cls(config.rules, config.counters)

    def configure(self, rules: model.RetryRules) -> None:
        """Replaces the rules."""
        self._rules = rules

    def record_first_attempt(self, call: _types.Call, now_ms: int) -> None:
        """Adds a fraction of a retry to the account's budget."""
        bucket = self._bucket(call.account, now_ms)
        bucket.earned = min(
            MAX_EARNED_RETRIES, bucket.earned + self._rules.budget_ratio
        )

    def handle_failure(
        self, call: _types.Call, failure: _types.Failure, now_ms: int
    ) -> _types.Decision:
        """Retries if the call, its deadline and the budget allow it."""
        refusal = self._find_refusal(call, failure, now_ms)
        if refusal is not None:
            self._counters.count_refusal(refusal.code, call.account)
            return _types.GiveUp(refusal)
        self._counters.count_retry(failure.kind, call.account)
        return _types.Retry(_delay_ms(failure), frozenset({failure.target_id}))

    def _find_refusal(
        self, call: _types.Call, failure: _types.Failure, now_ms: int
    ) -> results.Refusal | None:
        """Returns why the call is not retried, or None if it is."""
        if _refusals.may_have_run(call, failure):
            return _refusals.unknown_outcome(call, failure)
        if now_ms + _delay_ms(failure) >= call.deadline_ms:
            return _refusals.deadline_passed(call, failure)
        if failure.refusals and failure.kind is _types.FailureKind.REFUSED:
            if failure.refusals >= MAX_REFUSED_ATTEMPTS:
                return _refusals.attempts_exhausted(call, failure)
            return None
        if failure.attempts - failure.refusals >= self._rules.max_attempts:
            return _refusals.attempts_exhausted(call, failure)
        if not self._bucket(call.account, now_ms).try_spend():
            return _refusals.budget_exhausted(call, failure, RETRY_AFTER_MS)
        return None

    def _bucket(
        self, account: model.ClientAccountId, now_ms: int
    ) -> _RetryBucket:
        bucket = self._buckets.get(account)
        if bucket is None:
            guaranteed = float(self._rules.min_retries_per_minute)
            bucket = _RetryBucket(0.0, guaranteed, now_ms)
            self._buckets[account] = bucket
        bucket.refill(self._rules, now_ms)
        return bucket


def _delay_ms(failure: _types.Failure) -> int:
    """Returns the delay before a retry, 0 unless the target refused."""
    if failure.kind is not _types.FailureKind.REFUSED:
        return 0
    delay_ms = BACKOFF_MS << min(failure.attempts - 1, 8)
    return min(delay_ms, MAX_BACKOFF_MS)
