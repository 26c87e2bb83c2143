"""Refusals of the admission policies."""

import zlib

from lagooncrank import results
from lagooncrank.core.admission import _types

#: Shortest Retry-After of a refusal.
MIN_RETRY_AFTER_MS = 100
#: Largest fraction added to a Retry-After, so that callers do not all retry at
#: the same time.
RETRY_JITTER = 0.25


def queue_full(offer: _types.Offer, wait_ms: float) -> results.Refusal:
    """Returns the refusal of a request whose account has a full queue."""
    return results.Refusal(
        results.ResultCode.QUEUE_FULL,
        f"the queue of client account {offer.account} for service "
        f"{offer.service} is full; reduce the request rate or retry later",
        retry_after_ms=_retry_after_ms(offer, wait_ms),
    )


def cannot_start_in_time(
    offer: _types.Offer, wait_ms: float
) -> results.Refusal:
    """Returns the refusal of a request that would start too late."""
    return results.Refusal(
        results.ResultCode.CANNOT_START_IN_TIME,
        f"client account {offer.account} has more requests queued for service "
        f"{offer.service} than can start before the deadline; retry later",
        retry_after_ms=_retry_after_ms(offer, wait_ms),
    )


def queue_timeout(offer: _types.Offer, wait_ms: float) -> results.Refusal:
    """Returns the refusal of a request that waited too long."""
    return results.Refusal(
        results.ResultCode.QUEUE_TIMEOUT,
        f"request {offer.request_id} of client account {offer.account} can "
        f"no longer start in time; retry later",
        retry_after_ms=_retry_after_ms(offer, wait_ms),
    )


def preempted(offer: _types.Offer, wait_ms: float) -> results.Refusal:
    """Returns the refusal of a suspended request that cannot resume."""
    return results.Refusal(
        results.ResultCode.PREEMPTED,
        f"request {offer.request_id} ran on capacity lent to client account "
        f"{offer.account}, which other accounts need now; retry later",
        ran=results.ExecutionStatus.RAN,
        retry_after_ms=_retry_after_ms(offer, wait_ms),
    )


def forbidden(offer: _types.Offer) -> results.Refusal:
    """Returns the refusal of a request of an undeclared account."""
    return results.Refusal(
        results.ResultCode.FORBIDDEN,
        f"client account {offer.account} is not declared; ask an operator "
        f"to add it",
    )


def _retry_after_ms(offer: _types.Offer, wait_ms: float) -> int:
    """Returns the expected wait plus jitter derived from the request id."""
    jitter = zlib.crc32(offer.request_id.encode()) % 256 / 256
    jittered_ms = wait_ms * (1 + RETRY_JITTER * jitter)
    return max(MIN_RETRY_AFTER_MS, round(jittered_ms))
