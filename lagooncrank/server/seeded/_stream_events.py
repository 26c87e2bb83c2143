"""The events of a stream, over all runs that it takes to deliver them.

A run that breaks off is followed by another one. A run that is silent is kept
until another one has begun to respond: other servers may be full, other entries
may be silent themselves, and the server may go on.
"""

import asyncio
from collections.abc import AsyncGenerator

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank.core import dispatch
from lagooncrank.server import _buffer_budget
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _attempt_task
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _forwarding
from lagooncrank.server.seeded import _refusals
from lagooncrank.server.seeded import _run_notices
from lagooncrank.server.seeded import _stream_run


class StreamEvents:
    """Events of one request's stream."""

    def __init__(
        self,
        forwarder: _forwarding.Forwarder,
        buffers: _buffer_budget.BufferBudget,
        clock: clocks.Clock,
        log: _decision_log.DecisionLog,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        first: _attempt.BackendResponse,
    ) -> None:
        """Starts with the first run.

        Args:
            forwarder: Makes further attempts.
            buffers: Accounts for incomplete events.
            clock: Clock of the process.
            log: Log of this entry.
            exchange: The request.
            target: Target of the first run.
            first: Its response, whose head the caller has.
        """
        self._forwarder = forwarder
        self._buffers = buffers
        self._clock = clock
        self._log = log
        self._exchange = exchange
        self._first = first
        #: The run that events are read from.
        self._run = self._new_run(target, first)

    def close(self) -> None:
        """Ends the current run."""
        self._run.close()

    async def read(self) -> AsyncGenerator[bytes, None]:
        """Yields complete events until the stream is complete.

        Raises:
            ForwardingError: The stream broke off and cannot be resumed.
        """
        while True:
            try:
                async for events in self._read_run():
                    yield events
                return
            except _stream_run.RunSilentError:
                async for events in self._replace():
                    yield events
            except _attempt.AttemptFailedError as error:
                async for notice in self._resume(error):
                    yield notice

    async def _read_run(self) -> AsyncGenerator[bytes, None]:
        """Yields the events of the current run.

        Raises:
            RunSilentError: It is silent, and may be attempted elsewhere.
            AttemptFailedError: It broke off.
        """
        run = self._run
        # Events may have been taken while another attempt was made.
        run.check()
        while (chunk := await run.read_within_limits()) is not None:
            if events := run.take(chunk):
                yield events
            run.check()
        run.finish()

    async def _resume(
        self, error: _attempt.AttemptFailedError
    ) -> AsyncGenerator[bytes, None]:
        """Resumes the stream after its run broke off; yields notices.

        Raises:
            ForwardingError: No server resumes it.
        """
        self._run.close()
        self._forwarder.handle_broken_response(
            self._exchange, self._run.target, error
        )
        self._log_failure(error)
        if notice := _run_notices.notice(self._exchange, further_runs=1):
            yield notice
        try:
            self._run = await self._open_next()
        except _refusals.ForwardingError:
            if notice := _run_notices.notice(self._exchange, further_runs=0):
                yield notice
            raise

    async def _replace(self) -> AsyncGenerator[bytes, None]:
        """Replaces a silent run, or keeps it; yields its events and notices.

        Raises:
            ForwardingError: It broke off meanwhile, and no server resumes it.
        """
        exchange = self._exchange
        runs_before = exchange.possible_runs
        error = _stream_run.silence_failure()
        try:
            self._forwarder.handle_broken_response(
                exchange, self._run.target, error
            )
        except _refusals.ForwardingError as not_allowed:
            self._keep_run(exchange.possible_runs - runs_before, not_allowed)
            return
        runs_added = exchange.possible_runs - runs_before
        self._log_failure(error)
        if notice := _run_notices.notice(exchange, further_runs=1):
            yield notice
        async with self._begin_next() as opening:
            try:
                events = await self._read_until_done(opening)
            except _attempt.AttemptFailedError as failure:
                self._forwarder.outcomes.record_broken_response(
                    exchange, self._run.target, failure
                )
                self._run.close()
                await opening.wait()
                self._run = opening.take()
                return
            if opening.has_succeeded:
                self._run.close()
                self._run = opening.take()
                return
            refused = _refusal(opening)
        self._keep_run(runs_added, refused)
        if events:
            yield events
        if notice := _run_notices.notice(exchange, further_runs=1):
            yield notice

    def _begin_next(self) -> _attempt_task.AttemptTask[_stream_run.StreamRun]:
        return _attempt_task.AttemptTask(
            self._open_next(), _stream_run.StreamRun.close
        )

    async def _read_until_done(
        self, opening: _attempt_task.AttemptTask[_stream_run.StreamRun]
    ) -> bytes:
        """Reads the silent run until it goes on, or another one is decided on.

        Returns:
            Events of the silent run; none if it is still silent, or complete.

        Raises:
            AttemptFailedError: The silent run broke off.
        """
        while not opening.is_done:
            reading = asyncio.create_task(self._run.read())
            try:
                await _attempt_task.wait_for_any(opening.task, reading)
            finally:
                await _attempt_task.cancel(reading)
            error = _attempt_task.error_of(reading)
            if reading.cancelled() or opening.has_succeeded:
                return b""
            if error is not None:
                raise error
            chunk = reading.result()
            if chunk is None:
                return b""
            if events := self._run.take(chunk):
                return events
            self._run.check()
        return b""

    def _keep_run(
        self, runs_added: int, refused: _refusals.ForwardingError | None
    ) -> None:
        """Goes on with a silent run that was to be replaced.

        Args:
            runs_added: Runs that were counted for it.
            refused: Why there is no other run; None if the run goes on.
        """
        self._forwarder.release_slot(self._exchange)
        self._exchange.possible_runs -= runs_added
        self._run.be_patient()
        self._log.write(
            decisions.Event.RUN_KEPT,
            reason=None if refused is None else refused.refusal.reason,
            given_up_for=self._exchange.given_up_for,
            missed_ms=self._exchange.missed_ms,
            last_event_id=self._exchange.last_event_id,
            **self._exchange.log_fields(self._clock),
        )

    async def _open_next(self) -> _stream_run.StreamRun:
        """Opens another run that goes on where the stream stands.

        Raises:
            ForwardingError: No server resumes it.
        """
        target, response = await self._forwarder.open(self._exchange)
        if response.continues(self._first):
            return self._new_run(target, response)
        response.close()
        self._forwarder.close(self._exchange, target)
        self._exchange.record_lost_run()
        error = _attempt.AttemptFailedError(
            _attempt.FailureKind.SERVER_ERROR, str(response.head.status)
        )
        raise _refusals.ForwardingError(
            _refusals.stream_lost_refusal(self._exchange, error)
        )

    def _new_run(
        self, target: dispatch.Target, response: _attempt.BackendResponse
    ) -> _stream_run.StreamRun:
        return _stream_run.StreamRun(
            self._forwarder,
            self._exchange,
            target,
            response,
            self._buffers,
            self._clock,
        )

    def _log_failure(self, error: _attempt.AttemptFailedError) -> None:
        self._log.write(
            decisions.Event.RESUMED,
            failure=error.failure,
            detail=error.detail,
            given_up_for=self._exchange.given_up_for,
            missed_ms=self._exchange.missed_ms,
            last_event_id=self._exchange.last_event_id,
            **self._exchange.log_fields(self._clock),
        )


def _refusal(
    opening: _attempt_task.AttemptTask[_stream_run.StreamRun],
) -> _refusals.ForwardingError | None:
    """Returns why there is no other run; None while that is not known.

    Raises:
        BaseException: Another error ended the attempt.
    """
    if not opening.is_done:
        return None
    error = _attempt_task.error_of(opening.task)
    if error is None or isinstance(error, _refusals.ForwardingError):
        return error
    raise error
