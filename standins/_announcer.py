"""Announces a stand-in to entries."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import contextlib

import aiohttp
import mode

from lagooncrank import model

ANNOUNCE_INTERVAL_S = 0.5
ANNOUNCE_TIMEOUT_S = 1.0

#: Returns the next announcement for a sequence number.
AnnouncementMaker = Callable[[int], model.Announcement]


class Announcer(mode.Service):
    """Posts the current announcement to every entry at a regular interval.

    Errors of an entry are ignored; the next announcement follows anyway.
    """

    def __init__(
        self,
        entries: Sequence[str],
        make_announcement: AnnouncementMaker,
        interval_s: float = ANNOUNCE_INTERVAL_S,
    ) -> None:
        super().__init__()
        self._interval_s = interval_s
        self._entries = entries
        self._make_announcement = make_announcement
        self._sequence = 0
        self._session: aiohttp.ClientSession | None = None

    async def on_start(self) -> None:
        """Opens the client session."""
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)

    async def on_stop(self) -> None:
        """Closes the client session."""
        if self._session is not None:
            await self._session.close()

    async def announce(self) -> None:
        """Posts an announcement to all entries concurrently."""
        self._sequence += 1
        body = model.to_builtins(self._make_announcement(self._sequence))
        await asyncio.gather(*(self._post(e, body) for e in self._entries))

    async def _post(self, entry: str, body: object) -> None:
        assert self._session is not None
        url = f"http://{entry}/v1/announce"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self._session.post(url, json=body) as response:
                await response.read()

    @mode.Service.task
    async def _announce_periodically(self) -> None:
        while not self.should_stop:
            await self.announce()
            await self.sleep(self._interval_s)
