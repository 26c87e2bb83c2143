"""Refusals of admission, each with the time after which to ask again."""

import zlib

from lagooncrank import results
from lagooncrank.core.admission import _types

#: Shortest time that a caller is told to wait.
MIN_RETRY_AFTER_MS = 100
#: Largest part by which a wait is stretched, to spread callers that return.
SPREAD = 0.25


def queue_full(offer: _types.Offer, wait_ms: float) -> results.Refusal:
    """Returns the answer to a request whose account's queue is full."""
    return results.Refusal(
        results.ResultCode.QUEUE_FULL,
        f"the queue of client account {offer.account} for service "
        f"{offer.service} is full; send less or ask again later",
        retry_after_ms=_retry_after_ms(offer, wait_ms),
    )


def cannot_start_in_time(
    offer: _types.Offer, wait_ms: float
) -> results.Refusal:
    """Returns the answer to a request that would get its token too late."""
    return results.Refusal(
        results.ResultCode.CANNOT_START_IN_TIME,
        f"client account {offer.account} has more queued for service "
        f"{offer.service} than starts before the deadline; ask again later",
        retry_after_ms=_retry_after_ms(offer, wait_ms),
    )


def queue_timeout(offer: _types.Offer, wait_ms: float) -> results.Refusal:
    """Returns the answer to a request that waited too long."""
    return results.Refusal(
        results.ResultCode.QUEUE_TIMEOUT,
        f"request {offer.request_id} of client account {offer.account} can "
        f"no longer start in time; ask again later",
        retry_after_ms=_retry_after_ms(offer, wait_ms),
    )


def preempted(offer: _types.Offer, wait_ms: float) -> results.Refusal:
    """Returns the answer to a suspended request that cannot resume."""
    return results.Refusal(
        results.ResultCode.PREEMPTED,
        f"request {offer.request_id} ran on capacity lent to client account "
        f"{offer.account}, which others took back; ask again later",
        ran=results.Ran.RAN,
        retry_after_ms=_retry_after_ms(offer, wait_ms),
    )


def forbidden(offer: _types.Offer) -> results.Refusal:
    """Returns the answer to a request of an account that is not declared."""
    return results.Refusal(
        results.ResultCode.FORBIDDEN,
        f"client account {offer.account} is not declared; ask an operator "
        f"to add it",
    )


def _retry_after_ms(offer: _types.Offer, wait_ms: float) -> int:
    """Returns the wait, stretched by a part that the request id decides."""
    part = zlib.crc32(offer.request_id.encode()) % 256 / 256
    stretched = wait_ms * (1 + SPREAD * part)
    return max(MIN_RETRY_AFTER_MS, round(stretched))
