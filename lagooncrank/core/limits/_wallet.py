"""Permits that an entry holds, and the requests for permits that stand."""

import collections
from typing import Final

from lagooncrank.core.limits import _types

#: A permit is used within this time or lost, so that permits do not accumulate
#: at entries. Requests for permits stand as long.
PERMIT_TTL_MS: Final = 500


class PermitWallet:
    """Permits by process, oldest first."""

    def __init__(self) -> None:
        self._expires_ms: dict[_types.Process, collections.deque[int]] = {}
        #: Until when the entry waits for the response to its last request.
        self._requested_until_ms: dict[_types.Process, int] = {}
        #: When an issuer expects to have the next permit for this entry.
        self._available_ms: dict[_types.Process, int] = {}

    def count(self, process: _types.Process) -> int:
        """Returns the number of permits for a process."""
        return len(self._expires_ms.get(process, ()))

    def pop_expired(self, process: _types.Process, now_ms: int) -> int:
        """Removes the permits that were not used in time; returns how many."""
        permits = self._expires_ms.get(process, collections.deque())
        expired = 0
        while permits and permits[0] <= now_ms:
            permits.popleft()
            expired += 1
        return expired

    def take(self, process: _types.Process) -> bool:
        """Uses a permit; returns whether there was one."""
        permits = self._expires_ms.get(process)
        if not permits:
            return False
        permits.popleft()
        return True

    def add(self, grant: _types.PermitGrant, now_ms: int) -> None:
        """Adds permits, or records how long it takes to get one."""
        process = grant.process
        self._available_ms[process] = now_ms + grant.wait_ms
        if grant.count:
            self._requested_until_ms.pop(process, None)
            permits = self._expires_ms.setdefault(process, collections.deque())
            permits.extend([now_ms + PERMIT_TTL_MS] * grant.count)

    def is_requested(self, process: _types.Process, now_ms: int) -> bool:
        """Returns whether a request for permits stands."""
        return now_ms < self._requested_until_ms.get(process, 0)

    def record_request(self, process: _types.Process, now_ms: int) -> None:
        """Records that permits were requested."""
        self._requested_until_ms[process] = now_ms + PERMIT_TTL_MS

    def wait_ms(self, process: _types.Process, now_ms: int) -> int:
        """Returns the time until the next permit, as an issuer estimated it.

        Returns:
            0 if no issuer has been asked yet.
        """
        return max(self._available_ms.get(process, now_ms) - now_ms, 0)

    def forget(self, process: _types.Process) -> None:
        """Removes everything about a process that has no limit any more."""
        self._expires_ms.pop(process, None)
        self._requested_until_ms.pop(process, None)
        self._available_ms.pop(process, None)
