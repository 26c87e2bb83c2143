"""Waits for what an entry lacks for a moment after its start."""

import asyncio
from collections.abc import Callable
from typing import Final

from lagooncrank import clock as clocks

#: Longest wait of a request for the first document or the first servers. After
#: a loss of power both come within a second or two of an entry's start.
START_WAIT_MS: Final = 1_000
#: Part of the time left that a request may wait for them.
START_WAIT_PART: Final = 0.25
POLL_S: Final = 0.05


def wait_limit_ms(left_ms: int | None) -> int:
    """Returns how long a request may wait.

    Args:
        left_ms: Time that its caller gives it; None if it does not say.

    >>> wait_limit_ms(None), wait_limit_ms(8_000), wait_limit_ms(1_000)
    (1000, 1000, 250)
    """
    if left_ms is None:
        return START_WAIT_MS
    return min(START_WAIT_MS, int(left_ms * START_WAIT_PART))


async def wait_until(condition: Callable[[], bool], limit_ms: int) -> bool:
    """Waits until a condition holds; whether it does within the limit."""
    try:
        async with asyncio.timeout(limit_ms / clocks.MS_PER_S):
            while not condition():  # noqa: ASYNC110 - several parts, no event
                await asyncio.sleep(POLL_S)
    except TimeoutError:
        return condition()
    return True
