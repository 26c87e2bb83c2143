"""Keeps the loss of a disk apart from other losses of nodes.

The deployment bears one lost disk at a time, and a node counts as lost for a
while after it is back. Faults of other kinds may overlap as they like.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
from typing import Final

#: Time after its return for which a node counts as lost.
CATCH_UP_S: Final = 4.0


class Losses:
    """Faults of nodes that are under way."""

    def __init__(self) -> None:
        self._changed = asyncio.Condition()
        self._others = 0
        self._disks = 0

    @contextlib.asynccontextmanager
    async def of_a_disk(self) -> AsyncIterator[None]:
        """Waits for other faults to end; new ones wait meanwhile."""
        async with self._changed:
            await self._changed.wait_for(lambda: not self._disks)
            self._disks += 1
            await self._changed.wait_for(lambda: not self._others)
        try:
            yield
            await asyncio.sleep(CATCH_UP_S)
        finally:
            async with self._changed:
                self._disks -= 1
                self._changed.notify_all()

    @contextlib.asynccontextmanager
    async def of_another_kind(self) -> AsyncIterator[None]:
        """Waits while a disk is lost."""
        async with self._changed:
            await self._changed.wait_for(lambda: not self._disks)
            self._others += 1
        try:
            yield
            await asyncio.sleep(CATCH_UP_S)
        finally:
            async with self._changed:
                self._others -= 1
                self._changed.notify_all()
