"""Limit on the silence of a server while another one could serve."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import Final
from typing import Protocol

from lagooncrank import observed_time
from lagooncrank.server import _observed_timer

#: Time until a request at a silent server is checked again for the first time:
#: a sound server answers a health check well within it.
FIRST_RECHECK_MS: Final = 25
#: Interval of the checks after that.
RECHECK_MS: Final = 100


class Expirable(Protocol):
    """What a silence makes expire, such as a timeout or a `SilenceSignal`."""

    def expired(self) -> bool:
        """Returns whether it has expired."""

    def reschedule(self, when: float | None) -> None:
        """Makes it expire at a time of the event loop's clock."""


class SilenceSignal:
    """Tells that a server is silent, while the wait for it goes on."""

    def __init__(self) -> None:
        #: Called when the server is taken for silent.
        self.listeners: list[Callable[[], None]] = []
        self._silence = asyncio.Event()

    def expired(self) -> bool:
        """Returns whether the server was taken for silent."""
        return self._silence.is_set()

    def reschedule(self, when: float | None) -> None:
        """Records that the server is silent, whatever the time."""
        self._silence.set()
        for listener in self.listeners:
            listener()

    async def wait(self) -> None:
        """Waits until the server is taken for silent."""
        await self._silence.wait()


class SilenceLimit:
    """Makes the wait for a server expire after a silence, but not for nothing.

    The silence is observed time. While the request could not be attempted
    again, the wait goes on.
    """

    def __init__(
        self,
        clock: observed_time.ObservedClock,
        patience_ms: int | None,
        may_give_up: Callable[[], bool],
    ) -> None:
        """Starts the limit.

        Args:
            clock: Observed time of this entry.
            patience_ms: Longest silence; None for no limit.
            may_give_up: Returns whether the request can be attempted again.
        """
        self._clock = clock
        self._patience_ms = patience_ms
        self._may_give_up = may_give_up
        self._timeout: Expirable | None = None
        self._timer: _observed_timer.ObservedTimer | None = None
        self._is_overdue = False
        if patience_ms is not None:
            self._wait(patience_ms)

    def restart(self) -> None:
        """Restarts the limit after a sign of progress."""
        if self._timer is None or self._patience_ms is None:
            return
        if not self._is_overdue:
            self._timer.restart()
            return
        self._is_overdue = False
        self._timer.cancel()
        self._wait(self._patience_ms)

    @contextlib.contextmanager
    def watch(self, timeout: Expirable) -> Iterator[None]:
        """Returns a context for a wait for the server.

        Args:
            timeout: Encloses the context; is made to expire.
        """
        self._timeout = timeout
        try:
            yield
        finally:
            self._timeout = None

    def close(self) -> None:
        """Ends the limit."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wait(self, duration_ms: int) -> None:
        self._timer = _observed_timer.ObservedTimer(
            self._clock, duration_ms, self._on_silence
        )

    def _on_silence(self) -> None:
        timeout = self._timeout
        is_waiting = timeout is not None and not timeout.expired()
        if timeout is not None and is_waiting and self._may_give_up():
            self._timer = None
            timeout.reschedule(asyncio.get_running_loop().time())
            return
        recheck_ms = RECHECK_MS if self._is_overdue else FIRST_RECHECK_MS
        self._is_overdue = True
        self._wait(recheck_ms)
