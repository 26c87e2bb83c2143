"""Retry policy without a budget or a delay; the baseline."""

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import counting
from lagooncrank.core.retry import _policies
from lagooncrank.core.retry import _refusals
from lagooncrank.core.retry import _types


@_policies.RETRY_POLICIES.register("always")
class AlwaysRetry:
    """Retries at once until the deadline, unless the call is at-most-once."""

    def __init__(self, counters: counting.EventCounters) -> None:
        self._counters = counters

    @classmethod
    def from_config(cls, config: _policies.RetryConfig) -> "AlwaysRetry":
        """Returns a policy object; the rules of `config` are not used."""
        return cls(config.counters)

    def configure(self, rules: model.RetryRules) -> None:
        """Ignores the rules."""

    def record_first_attempt(self, call: _types.Call, now_ms: int) -> None:
        """Does nothing, as there is no budget."""

    def handle_failure(
        self, call: _types.Call, failure: _types.Failure, now_ms: int
    ) -> _types.Decision:
        """Retries at once on another target, or gives up."""
        if _refusals.may_have_run(call, failure):
            return self._give_up(call, _refusals.unknown_outcome(call, failure))
        if now_ms >= call.deadline_ms:
            return self._give_up(call, _refusals.deadline_passed(call, failure))
        self._counters.count_retry(failure.kind, call.account)
        return _types.Retry(0, frozenset({failure.target_id}))

    def _give_up(
        self, call: _types.Call, refusal: results.Refusal
    ) -> _types.GiveUp:
        self._counters.count_refusal(refusal.code, call.account)
        return _types.GiveUp(refusal)
