from hypothesis import given
from hypothesis import strategies as st
import pytest

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import retry

LOST = retry.FailureKind.CONNECTION_LOST


def _call(repeatable: bool = True, account: str = "a") -> retry.Call:
    return retry.Call(
        model.RequestId("r"),
        model.ClientAccountId(account),
        model.ServiceName("s"),
        repeatable,
        b"digest",
        deadline_ms=10_000,
    )


def _policy(
    name: str = "budget", rules: model.RetryRules | None = None
) -> retry.RetryPolicy:
    config = retry.RetryConfig(rules or model.RetryRules())
    return retry.RETRY_POLICIES.get(name).from_config(config)


@pytest.mark.parametrize(
    ("kind", "repeatable", "written", "attempts", "now_ms", "code"),
    [
        pytest.param(LOST, True, True, 1, 0, None, id="repeatable"),
        pytest.param(
            retry.FailureKind.CONNECT_FAILED,
            False,
            False,
            1,
            0,
            None,
            id="nothing-written",
        ),
        pytest.param(
            LOST,
            False,
            True,
            1,
            0,
            results.ResultCode.OUTCOME_UNKNOWN,
            id="may-have-run",
        ),
        pytest.param(
            LOST,
            True,
            True,
            2,
            0,
            results.ResultCode.BACKEND_LOST,
            id="attempts-spent",
        ),
        pytest.param(
            LOST,
            True,
            True,
            1,
            10_000,
            results.ResultCode.DEADLINE_EXCEEDED,
            id="deadline",
        ),
    ],
)
def test_decision_depends_on_failure_and_deadline(
    kind: retry.FailureKind,
    repeatable: bool,
    written: bool,
    attempts: int,
    now_ms: int,
    code: results.ResultCode | None,
) -> None:
    failure = retry.Failure(kind, "t1", written, attempts)
    decision = _policy().handle_failure(_call(repeatable), failure, now_ms)
    if code is None:
        assert decision == retry.Retry(0, frozenset({"t1"}))
    else:
        assert isinstance(decision, retry.GiveUp)
        assert decision.refusal.code is code


@given(
    first_attempts_ms=st.lists(st.integers(0, 120_000), max_size=200),
    failures_ms=st.lists(st.integers(0, 120_000), max_size=300),
    ratio=st.sampled_from([0.0, 0.1, 0.5]),
)
def test_retries_never_exceed_the_budget(
    first_attempts_ms: list[int], failures_ms: list[int], ratio: float
) -> None:
    rules = model.RetryRules(budget_ratio=ratio, min_retries_per_minute=10)
    policy = _policy(rules=rules)
    events = [(at_ms, "first") for at_ms in first_attempts_ms] + [
        (at_ms, "fail") for at_ms in failures_ms
    ]
    retries = first_attempts = 0
    for at_ms, kind in sorted(events):
        if kind == "first":
            first_attempts += 1
            policy.record_first_attempt(_call(), at_ms)
            continue
        call = retry.Call(
            model.RequestId("r"),
            model.ClientAccountId("a"),
            model.ServiceName("s"),
            True,
            b"d",
            deadline_ms=at_ms + 1_000,
        )
        failure = retry.Failure(LOST, "t", True, 1)
        decision = policy.handle_failure(call, failure, at_ms)
        retries += isinstance(decision, retry.Retry)
        minutes = at_ms / 60_000
        assert retries <= ratio * first_attempts + 10 * (1 + minutes) + 1e-6


def test_retries_after_a_domain_failure_stay_within_the_budget() -> None:
    retries = {}
    for name in ("always", "budget"):
        policy = _policy(name)
        for _ in range(600):
            policy.record_first_attempt(_call(), 0)
        failure = retry.Failure(LOST, "t", True, 1)
        decisions = [
            policy.handle_failure(_call(), failure, 1) for _ in range(600)
        ]
        retries[name] = sum(isinstance(d, retry.Retry) for d in decisions)
    assert retries["always"] == 600
    assert retries["budget"] <= 0.1 * 600 + 10


@pytest.mark.parametrize(
    ("refusals", "is_retried"),
    [
        pytest.param(1, True, id="first-refusal"),
        pytest.param(9, True, id="ninth-refusal"),
        pytest.param(10, False, id="tenth-refusal"),
    ],
)
def test_refused_attempts_are_retried_without_using_the_budget(
    refusals: int, is_retried: bool
) -> None:
    rules = model.RetryRules(budget_ratio=0.0, min_retries_per_minute=0)
    policy = _policy(rules=rules)
    refused = retry.FailureKind.REFUSED
    failure = retry.Failure(refused, "t1", True, refusals, refusals)
    decision = policy.handle_failure(_call(), failure, 0)
    if is_retried:
        assert isinstance(decision, retry.Retry)
        assert 0 < decision.delay_ms <= 200
    else:
        assert isinstance(decision, retry.GiveUp)
        assert decision.refusal.code is results.ResultCode.BACKEND_OVERLOADED
        assert decision.refusal.ran is results.ExecutionStatus.NOT_RUN


def test_accounts_have_separate_budgets() -> None:
    policy = _policy()
    failure = retry.Failure(LOST, "t", True, 1)
    for _ in range(100):
        policy.handle_failure(_call(account="large"), failure, 0)
    decision = policy.handle_failure(_call(account="small"), failure, 0)
    assert isinstance(decision, retry.Retry)
