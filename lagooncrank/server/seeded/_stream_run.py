"""One run of a stream: a response whose events are read one after the other."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterable
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank.core import dispatch
from lagooncrank.server import _buffer_budget
from lagooncrank.server import _deadlines
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _event_sequence
from lagooncrank.server.seeded import _events
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _forwarding
from lagooncrank.server.seeded import _run_notices
from lagooncrank.server.seeded import _silence_limit
from lagooncrank.server.seeded import _stream_quota

#: A resumable stream is resumed elsewhere after a pause of this many times the
#: longest gap between events that its route allows.
STREAM_PAUSE_FACTOR: Final = 5
MIN_STREAM_PAUSE_MS: Final = 1_200


class RunSilentError(Exception):
    """A run is silent, and the request may be attempted elsewhere.

    The run itself may go on; what it sends can still be read.
    """


class StreamRun:
    """Reads the events of one run of a stream."""

    def __init__(
        self,
        forwarder: _forwarding.Forwarder,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        response: _attempt.BackendResponse,
        buffers: _buffer_budget.BufferBudget,
        clock: clocks.Clock,
    ) -> None:
        self._forwarder = forwarder
        self._exchange = exchange
        self.target = target
        self.response = response
        self._clock = clock
        self._is_closed = False
        self._buffer = buffers.open()
        self._chunks: AsyncIterator[bytes] | None = None
        self._splitter = _events.EventSplitter()
        self._sequence = _event_sequence.EventSequence.of_next_run(exchange)
        self._quota = _stream_quota.StreamQuota(self._buffer)
        #: Bytes that were taken and not checked, and events in them.
        self._taken = (0, 0)
        #: Token of the notices in this run; a later attempt has another one.
        self._notice_token = exchange.notice_token
        self._silence_limit = self._new_silence_limit()
        remaining_s = exchange.remaining_ms(clock) / clocks.MS_PER_S
        self._deadline_s = asyncio.get_running_loop().time() + remaining_s

    def close(self) -> None:
        """Ends the run, and its connection unless the whole body was read.

        Later calls do nothing.
        """
        if self._is_closed:
            return
        self._is_closed = True
        self._silence_limit.close()
        self._buffer.resize(0)
        self.response.close()
        self._forwarder.close(self._exchange, self.target)

    def be_patient(self) -> None:
        """Lets the server be silent for as long as after an event."""
        self._silence_limit.close()
        self._silence_limit = self._new_silence_limit()

    async def read_within_limits(self) -> bytes | None:
        """Returns the next part of the body; None at its end.

        Raises:
            RunSilentError: The run is silent; the next part is still to come.
            AttemptFailedError: The run has ended, or its time is over.
        """
        try:
            async with _deadlines.deadline(self._deadline_s) as timeout:
                with (
                    self._forwarder.register_wait(
                        self._exchange, self.target, timeout
                    ),
                    self._silence_limit.watch(timeout),
                ):
                    chunk = await self.read()
        except TimeoutError as error:
            if asyncio.get_running_loop().time() < self._deadline_s:
                raise RunSilentError from error
            raise silence_failure() from error
        # It may have been silent just before.
        self._forwarder.release_slot(self._exchange)
        return chunk

    async def read(self) -> bytes | None:
        """Returns the next part of the body; None at its end.

        No part is lost if the call is cancelled.

        Raises:
            AttemptFailedError: The run has ended early.
        """
        if self._chunks is None:
            self._chunks = self.response.body()
        try:
            return await anext(self._chunks, None)
        except asyncio.CancelledError:
            # The iterator has ended with it.
            self._chunks = None
            raise

    def take(self, chunk: bytes) -> bytes:
        """Returns the events for the caller that a part of the body completes.

        Call `check` once the caller has them.
        """
        exchange = self._exchange
        ready = []
        events: Iterable[_events.StreamEvent] = self._splitter.feed(chunk)
        if self.target.is_entry:
            events = _run_notices.take(exchange, self._notice_token, events)
        for event in self._sequence.take(events):
            exchange.record_event(self._clock.now_ms())
            if event.event_id is not None:
                exchange.last_event_id = event.event_id
            ready.append(event.raw)
        self._taken = (len(chunk), len(ready))
        if ready:
            self._forwarder.outcomes.record_event(exchange, self.target)
        return b"".join(ready)

    def check(self) -> None:
        """Checks what was taken since the last call.

        Raises:
            AttemptFailedError: An event does not fit, or a limit is exceeded.
        """
        read_bytes, events = self._taken
        self._taken = (0, 0)
        if events:
            # The time that the caller took is not the server's. A part of an
            # event is no progress: a server that sends a byte now and then has
            # stalled.
            self._silence_limit.restart()
        self._sequence.check()
        self._quota.record(read_bytes, events, self._splitter.partial_bytes)

    def finish(self) -> None:
        """Checks that the body, of which all was read, is a whole response.

        Raises:
            AttemptFailedError: It is not.
        """
        if self._splitter.has_partial_event:
            raise _attempt.AttemptFailedError(
                _attempt.FailureKind.RESPONSE_LOST,
                "the stream ended in the middle of an event",
                is_disconnect=True,
            )
        if not self.response.is_framed and not self._exchange.run_events:
            # A crash looks like the regular end of such a response.
            raise _attempt.AttemptFailedError(
                _attempt.FailureKind.RESPONSE_LOST,
                "the stream ended before its first event",
                is_disconnect=True,
            )
        self.response.release()
        if self._exchange.run_events and self.response.is_framed:
            self._forwarder.outcomes.record_complete(
                self._exchange, self.target
            )

    def _new_silence_limit(self) -> _silence_limit.SilenceLimit:
        """Returns the limit on pauses between the events of the run."""
        pause_ms = max(
            STREAM_PAUSE_FACTOR * self._exchange.route.max_event_gap_ms,
            MIN_STREAM_PAUSE_MS,
        )
        if self.target.is_entry:
            # The other entry resumes the stream first.
            pause_ms *= 2
        return self._forwarder.silence_limit(self._exchange, pause_ms)


def silence_failure() -> _attempt.AttemptFailedError:
    """Returns the failure of a run that is given up because it is silent."""
    return _attempt.AttemptFailedError(
        _attempt.FailureKind.TIMED_OUT, "no event arrived in time"
    )
