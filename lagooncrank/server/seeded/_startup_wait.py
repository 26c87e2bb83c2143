"""Waits for data that an entry lacks shortly after its start."""

import asyncio
from collections.abc import Callable
from typing import Final

from lagooncrank import clock as clocks

#: Maximum wait of a request for the first document or the first server reports.
#: After a power failure both arrive within a second or two of an entry's start.
START_WAIT_MS: Final = 1_000
#: Fraction of its remaining time that a request may spend on this wait.
START_WAIT_FRACTION: Final = 0.25
POLL_S: Final = 0.05


def wait_limit_ms(remaining_ms: int | None) -> int:
    """Returns how long a request may wait.

    Args:
        remaining_ms: Time until its deadline; None if its caller set none.

    >>> wait_limit_ms(None), wait_limit_ms(8_000), wait_limit_ms(1_000)
    (1000, 1000, 250)
    """
    if remaining_ms is None:
        return START_WAIT_MS
    return min(START_WAIT_MS, int(remaining_ms * START_WAIT_FRACTION))


async def wait_until(condition: Callable[[], bool], limit_ms: int) -> bool:
    """Waits until a condition holds.

    Returns:
        Whether it holds within the limit.
    """
    try:
        async with asyncio.timeout(limit_ms / clocks.MS_PER_S):
            while not condition():  # noqa: ASYNC110 - several parts, no event
                await asyncio.sleep(POLL_S)
    except TimeoutError:
        return condition()
    return True
