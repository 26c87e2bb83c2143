"""How long callers wait before they abandon a request.

A caller that leaves while its request is queued gets nothing, and may have
been served by another attempt. Entries therefore refuse a request while its
caller still has time to come back.
"""

from typing import Final

from lagooncrank import model

#: Callers abandon a stream without an event for the longest of this time and
#: of these multiples of its latency target and of its longest allowed gap.
MIN_STREAM_PATIENCE_MS: Final = 2_000
LATENCY_TARGET_FACTOR: Final = 4
EVENT_GAP_FACTOR: Final = 8
#: Fraction of its remaining time, and of its caller's patience, that a request
#: may spend in a queue; the rest is left to the caller for a retry.
MAX_WAIT_FRACTION: Final = 0.5


def stream_patience_ms(route: model.Route) -> int:
    """Returns how long callers wait for the next event of a stream."""
    return max(
        MIN_STREAM_PATIENCE_MS,
        LATENCY_TARGET_FACTOR * route.target_latency_ms,
        EVENT_GAP_FACTOR * route.max_event_gap_ms,
    )


def queue_limit_ms(route: model.Route, remaining_ms: int) -> int:
    """Returns how long a request may wait in a queue.

    Args:
        route: Route of the request.
        remaining_ms: Time until its deadline; negative after it.
    """
    patience_ms = max(remaining_ms, 0)
    if route.kind is model.RequestKind.STREAM:
        patience_ms = min(patience_ms, stream_patience_ms(route))
    return int(patience_ms * MAX_WAIT_FRACTION)
