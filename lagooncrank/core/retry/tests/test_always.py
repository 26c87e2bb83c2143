import pytest

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import retry


@pytest.mark.parametrize(
    ("repeatable", "bytes_written", "now_ms", "code"),
    [
        pytest.param(True, True, 0, None, id="repeatable-written"),
        pytest.param(False, False, 0, None, id="unrepeatable-unwritten"),
        pytest.param(
            False,
            True,
            0,
            results.ResultCode.OUTCOME_UNKNOWN,
            id="unrepeatable-written",
        ),
        pytest.param(
            True,
            True,
            100,
            results.ResultCode.DEADLINE_EXCEEDED,
            id="past-deadline",
        ),
    ],
)
def test_failure_is_retried_unless_outcome_is_unknown_or_deadline_passed(
    repeatable: bool,
    bytes_written: bool,
    now_ms: int,
    code: results.ResultCode | None,
) -> None:
    policy = retry.RETRY_POLICIES.get("always").from_config(retry.RetryConfig())
    call = retry.Call(
        model.RequestId("r"),
        model.ClientAccountId("a"),
        model.ServiceName("s"),
        repeatable,
        b"digest",
        deadline_ms=100,
    )
    failure = retry.Failure(
        retry.FailureKind.CONNECTION_LOST, "t1", bytes_written, attempts=1
    )
    decision = policy.handle_failure(call, failure, now_ms)
    if code is None:
        assert decision == retry.Retry(0, frozenset({"t1"}))
    else:
        assert isinstance(decision, retry.GiveUp)
        assert decision.refusal.code is code
        assert decision.refusal.ran is results.ExecutionStatus.UNKNOWN
