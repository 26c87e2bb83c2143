"""Time limit of one attempt of a stream."""

import asyncio

from lagooncrank import clock as clocks


class StreamTimeLimit:
    """Time by which the next complete event of a stream must arrive.

    A part of an event does not extend it: a server that sends a byte now and
    then has stalled.
    """

    def __init__(self, remaining_ms: int, pause_ms: int | None) -> None:
        """Starts the limit of an attempt.

        Args:
            remaining_ms: Time until the deadline of the request.
            pause_ms: Longest pause between two events; None for no limit.
        """
        self._loop = asyncio.get_running_loop()
        self._pause_ms = pause_ms
        #: Deadline, on the clock of the event loop.
        self.deadline_s = self._loop.time() + remaining_ms / clocks.MS_PER_S
        #: The limit, on the same clock.
        self.at_s = self.deadline_s
        self.restart_pause()

    def restart_pause(self) -> None:
        """Restarts the limit on pauses after a complete event."""
        if self._pause_ms is not None:
            pause_s = self._pause_ms / clocks.MS_PER_S
            self.at_s = min(self.deadline_s, self._loop.time() + pause_s)

    @property
    def remaining_ms(self) -> int:
        """Time until the limit."""
        return int((self.at_s - self._loop.time()) * clocks.MS_PER_S)
