"""Deadlines of callers, which pass while this process stands still as well.

A timer of the event loop that is due after a standstill runs before what has
arrived meanwhile is read. A wait with one of these ends only after that.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
from typing import Final

from lagooncrank import clock as clocks

#: Passes of the event loop in which what has arrived reaches its reader.
READ_PASSES: Final = 10
#: Passes that it needs at least, however long they take.
MIN_READ_PASSES: Final = 4
#: Time after which there are no more of them: callers wait for an answer.
MAX_READ_S: Final = 0.1


class _LateExpiry:
    """Makes a timeout expire some passes of the event loop after a time."""

    def __init__(self, limit: asyncio.Timeout, due_s: float) -> None:
        self._limit = limit
        self._loop = asyncio.get_running_loop()
        #: When the passes end, once they have begun.
        self._read_until_s = 0.0
        self._handle: asyncio.Handle = self._loop.call_at(due_s, self._on_due)

    def cancel(self) -> None:
        """Ends the wait; the timeout does not expire."""
        self._handle.cancel()

    def _on_due(self) -> None:
        self._read_until_s = self._loop.time() + MAX_READ_S
        self._on_pass(0)

    def _on_pass(self, passes: int) -> None:
        is_late = self._loop.time() >= self._read_until_s
        if passes < (MIN_READ_PASSES if is_late else READ_PASSES):
            self._handle = self._loop.call_soon(self._on_pass, passes + 1)
        elif not self._limit.expired():
            self._limit.reschedule(self._loop.time())


@contextlib.asynccontextmanager
async def deadline(due_s: float) -> AsyncIterator[asyncio.Timeout]:
    """Returns a context that ends at a time, after what has arrived is read.

    A deadline that has passed at the start leaves no time to read.

    Args:
        due_s: The time, of the event loop's clock.

    Raises:
        TimeoutError: The block did not end in time; it was cancelled.
    """
    if due_s <= asyncio.get_running_loop().time():
        async with asyncio.timeout_at(due_s) as limit:
            yield limit
        return
    async with asyncio.timeout(None) as limit:
        expiry = _LateExpiry(limit, due_s)
        try:
            yield limit
        finally:
            expiry.cancel()


def after(
    remaining_ms: int,
) -> contextlib.AbstractAsyncContextManager[asyncio.Timeout]:
    """Returns a context like `deadline` that ends after a duration.

    Args:
        remaining_ms: The duration; negative if the deadline has passed.
    """
    now_s = asyncio.get_running_loop().time()
    return deadline(now_s + max(remaining_ms, 0) / clocks.MS_PER_S)
