"""Refusals of completions, other than those of admission and retry."""

from lagooncrank import model
from lagooncrank import results

#: Retry delay for callers while no replica can run their request.
NO_REPLICA_RETRY_AFTER_MS = 1_000


def no_replica(
    service: model.ServiceName, ran: results.ExecutionStatus
) -> results.LagooncrankError:
    """Returns the error for a request that no replica can run."""
    return results.LagooncrankError(
        results.Refusal(
            results.ResultCode.NO_SERVING_REPLICA,
            f"no replica of model service {service!r} can run this request "
            "now; retry later",
            ran=ran,
            retry_after_ms=NO_REPLICA_RETRY_AFTER_MS,
        )
    )


def deadline_passed(ran: results.ExecutionStatus) -> results.LagooncrankError:
    """Returns the error for a request whose deadline passed."""
    return results.LagooncrankError(
        results.Refusal(
            results.ResultCode.DEADLINE_EXCEEDED,
            "the request's deadline passed before its answer was complete",
            ran=ran,
        )
    )
