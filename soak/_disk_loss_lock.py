"""Lock that separates the loss of a disk from other faults of nodes.

The deployment tolerates the loss of one disk at a time, and a node counts as
lost for a while after its return. Other faults may overlap in any way.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
from typing import Final

#: Time after its return during which a node counts as lost.
CATCH_UP_S: Final = 4.0


class DiskLossLock:
    """Lock that a disk loss holds exclusively and other faults share."""

    def __init__(self) -> None:
        self._changed = asyncio.Condition()
        self._shared_holders = 0
        self._exclusive_holders = 0

    @contextlib.asynccontextmanager
    async def hold_exclusive(self) -> AsyncIterator[None]:
        """Holds the lock for a disk loss until its node has caught up.

        It is entered when no other fault holds the lock. Faults that request
        the lock in the meantime wait.
        """
        async with self._changed:
            await self._changed.wait_for(lambda: not self._exclusive_holders)
            self._exclusive_holders += 1
            await self._changed.wait_for(lambda: not self._shared_holders)
        try:
            yield
            await asyncio.sleep(CATCH_UP_S)
        finally:
            async with self._changed:
                self._exclusive_holders -= 1
                self._changed.notify_all()

    @contextlib.asynccontextmanager
    async def hold_shared(self) -> AsyncIterator[None]:
        """Holds the lock for another fault until its nodes have caught up.

        It is entered when no disk loss holds the lock or waits for it.
        """
        async with self._changed:
            await self._changed.wait_for(lambda: not self._exclusive_holders)
            self._shared_holders += 1
        try:
            yield
            await asyncio.sleep(CATCH_UP_S)
        finally:
            async with self._changed:
                self._shared_holders -= 1
                self._changed.notify_all()
