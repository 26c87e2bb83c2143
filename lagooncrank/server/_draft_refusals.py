"""Refusals that end a draft beside those of admission and retry."""

from lagooncrank import model
from lagooncrank import results

#: When a caller may try again while no replica serves.
NO_REPLICA_RETRY_AFTER_MS = 1_000


def no_replica(
    service: model.ServiceName, ran: results.ExecutionStatus
) -> results.LagooncrankError:
    """Returns the error of a draft that no replica can take."""
    return results.LagooncrankError(
        results.Refusal(
            results.ResultCode.NO_SERVING_REPLICA,
            f"no replica of model service {service!r} can take this request "
            "now; ask again later",
            ran=ran,
            retry_after_ms=NO_REPLICA_RETRY_AFTER_MS,
        )
    )


def deadline_passed(ran: results.ExecutionStatus) -> results.LagooncrankError:
    """Returns the error of a draft whose caller stopped waiting."""
    return results.LagooncrankError(
        results.Refusal(
            results.ResultCode.DEADLINE_EXCEEDED,
            "the request's deadline passed before its answer was complete",
            ran=ran,
        )
    )
