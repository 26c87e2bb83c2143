"""Forwards requests to backend servers, with retries.

A request that may have run is retried only if its route allows more than one
run. Every retry consumes the retry budget that all entries share.

A silent attempt, and a server's own error, are kept while another attempt is
made: it may be refused by the server, by another entry, or by this one.
"""

import asyncio
import contextlib

from lagooncrank import decisions
from lagooncrank import model
from lagooncrank.core import dispatch
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _attempt_chooser
from lagooncrank.server.seeded import _attempt_outcomes
from lagooncrank.server.seeded import _attempt_parts
from lagooncrank.server.seeded import _attempt_runner
from lagooncrank.server.seeded import _attempt_task
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _next_attempt
from lagooncrank.server.seeded import _refusals
from lagooncrank.server.seeded import _retry_rules
from lagooncrank.server.seeded import _silence_limit

_OpenResponse = tuple[dispatch.Target, _attempt.BackendResponse]


class Forwarder:
    """Makes the attempts of all requests of one entry."""

    def __init__(self, parts: _attempt_parts.AttemptParts) -> None:
        #: Records what attempts show, also while their responses are read.
        self.outcomes = _attempt_outcomes.AttemptOutcomes(parts)
        self._retry_rules = _retry_rules.RetryRules(
            parts.crash_guard, parts.clock
        )
        self._stop_gate = parts.stop_gate
        self._clock = parts.clock
        self._log = parts.log
        self._next_attempts = _next_attempt.NextAttempts(parts)
        self._chooser = _attempt_chooser.AttemptChooser(
            parts, self._next_attempts
        )
        self._runner = _attempt_runner.AttemptRunner(parts, self._next_attempts)
        parts.limits.listeners.append(parts.slot_queue.grant_slots)

    async def open(self, exchange: _exchange.Exchange) -> _OpenResponse:
        """Makes attempts until one yields a response for the caller.

        The caller of this method must call `close` with the target.

        Returns:
            The target of the successful attempt and its response.

        Raises:
            ForwardingError: No attempt succeeded and no other is allowed.
        """
        return await self._open(exchange, None, 0)

    async def _open(
        self,
        exchange: _exchange.Exchange,
        last_error: _attempt.AttemptFailedError | None,
        rejections: int,
    ) -> _OpenResponse:
        """Makes further attempts.

        Args:
            exchange: The request.
            last_error: Failure of the attempt before; None for the first.
            rejections: Attempts so far that backend servers did not run.

        Raises:
            ForwardingError: No attempt succeeded and no other is allowed.
        """
        while True:
            target = await self._choose(exchange, last_error)
            try:
                return await self._try_target(exchange, target, rejections)
            except _attempt.AttemptFailedError as error:
                last_error = error
            if not last_error.may_have_run and not target.is_entry:
                rejections += 1
            self.outcomes.record_failed_attempt(exchange, target, last_error)
            self._retry_rules.check(exchange, last_error, rejections)

    async def _try_target(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        rejections: int,
    ) -> _OpenResponse:
        """Makes one attempt, and another one before it is given up.

        Raises:
            AttemptFailedError: It failed.
            ForwardingError: It failed, and no other attempt is allowed.
        """
        silence = _silence_limit.SilenceSignal()
        self._runner.begin(exchange, target)
        starting = _attempt_task.AttemptTask(
            self._runner.send(exchange, target, silence),
            _attempt.BackendResponse.close,
        )
        try:
            async with starting:
                await self._wait_for_start(exchange, starting, silence)
                if not starting.is_done:
                    return await self._open_beside(
                        exchange, target, starting, rejections
                    )
                response = starting.take()
        finally:
            if not starting.is_taken:
                self._runner.close(exchange, target)
        is_error = _attempt_runner.is_server_error(response)
        if (
            is_error
            and not target.is_entry
            and self._next_attempts.try_reserve(exchange, is_silent=False)
        ):
            return await self._open_instead(
                exchange, (target, response), rejections
            )
        # It may have been silent just before.
        self.release_slot(exchange)
        return target, response

    async def _wait_for_start(
        self,
        exchange: _exchange.Exchange,
        starting: _attempt_task.AttemptTask[_attempt.BackendResponse],
        silence: _silence_limit.SilenceSignal,
    ) -> None:
        """Waits until an attempt has a response, has failed or is silent."""
        waiting = asyncio.create_task(silence.wait())
        try:
            await _attempt_task.wait_for_any(starting.task, waiting)
        except asyncio.CancelledError:
            # The server may have run it.
            exchange.record_lost_run()
            raise
        finally:
            waiting.cancel()

    async def _open_beside(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        starting: _attempt_task.AttemptTask[_attempt.BackendResponse],
        rejections: int,
    ) -> _OpenResponse:
        """Makes another attempt beside a silent one; the first response counts.

        Raises:
            AttemptFailedError: The silent attempt failed, and so did the other.
            ForwardingError: The other attempt failed after the silent one.
        """
        error = _attempt.AttemptFailedError(
            _attempt.FailureKind.TIMED_OUT, "no response yet"
        )
        runs_added = self.outcomes.record_failed_attempt(
            exchange, target, error
        )
        async with _attempt_task.AttemptTask(
            self._open_if_allowed(exchange, error, rejections),
            lambda response: self._discard(exchange, *response),
        ) as opening:
            await _attempt_task.wait_for_any(starting.task, opening.task)
            if opening.has_succeeded:
                if not starting.is_done:
                    self._next_attempts.record_abandoned(exchange, target)
                return opening.take()
            if not starting.is_done:
                self._record_kept(exchange, opening)
                await starting.wait()
            elif not _has_served(starting):
                self._record_late_failure(exchange, target, starting)
                await opening.wait()
                if opening.has_succeeded or not starting.has_succeeded:
                    return opening.take()
        exchange.possible_runs -= runs_added
        self.release_slot(exchange)
        return target, starting.take()

    def _record_kept(
        self,
        exchange: _exchange.Exchange,
        opening: _attempt_task.AttemptTask[_OpenResponse],
    ) -> None:
        """Records that a silent attempt goes on, as there is no other.

        Raises:
            BaseException: The other one failed for another reason.
        """
        error = _attempt_task.error_of(opening.task)
        if not isinstance(error, _refusals.ForwardingError):
            assert error is not None
            raise error
        self._log.write(
            decisions.Event.RUN_KEPT,
            reason=error.refusal.reason,
            given_up_for=exchange.given_up_for,
            missed_ms=exchange.missed_ms,
            **exchange.log_fields(self._clock),
        )

    def _record_late_failure(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        starting: _attempt_task.AttemptTask[_attempt.BackendResponse],
    ) -> None:
        """Records the failure of an attempt that counts as a run already.

        Raises:
            BaseException: It ends the request, whatever other attempts do.
        """
        error = _attempt_task.error_of(starting.task)
        if isinstance(error, _attempt.AttemptFailedError):
            self.outcomes.record_late_failure(exchange, target, error)
        elif error is not None:
            raise error

    async def _open_if_allowed(
        self,
        exchange: _exchange.Exchange,
        error: _attempt.AttemptFailedError,
        rejections: int,
    ) -> _OpenResponse:
        """Makes another attempt after a failure.

        Raises:
            ForwardingError: None is allowed, or none succeeded.
        """
        self._retry_rules.check(exchange, error, rejections)
        return await self._open(exchange, error, rejections)

    async def _open_instead(
        self,
        exchange: _exchange.Exchange,
        own_error: _OpenResponse,
        rejections: int,
    ) -> _OpenResponse:
        """Makes another attempt in place of one that a server had an error in.

        Returns:
            Its response, or that error if there is no other response.
        """
        target, response = own_error
        error = _attempt.AttemptFailedError(
            _attempt.FailureKind.SERVER_ERROR, str(response.head.status)
        )
        runs_added = self.outcomes.record_failed_attempt(
            exchange, target, error
        )
        is_kept = False
        try:
            return await self._open_if_allowed(exchange, error, rejections)
        except _refusals.ForwardingError:
            is_kept = True
            exchange.possible_runs -= runs_added
            self.release_slot(exchange)
            return own_error
        finally:
            if not is_kept:
                self._discard(exchange, target, response)

    def _discard(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        response: _attempt.BackendResponse,
    ) -> None:
        """Closes a response that is not passed on."""
        response.close()
        self._runner.close(exchange, target)

    async def _choose(
        self,
        exchange: _exchange.Exchange,
        last_error: _attempt.AttemptFailedError | None,
    ) -> dispatch.Target:
        """Chooses the next target; a planned stop limits the wait for it.

        Raises:
            ForwardingError: There is none, or the request must not be sent.
        """
        async with self._stop_gate.limit_wait(exchange, last_error):
            return await self._chooser.choose(exchange, last_error)

    def close(
        self, exchange: _exchange.Exchange, target: dispatch.Target
    ) -> None:
        """Records that a request no longer runs at its target."""
        self._runner.close(exchange, target)

    def release_slot(self, exchange: _exchange.Exchange) -> None:
        """Releases the slot that is reserved for a next attempt, if any."""
        self._next_attempts.release_slot(exchange)

    def register_wait(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        timeout: _silence_limit.Expirable,
    ) -> contextlib.AbstractContextManager[None]:
        """Returns a context in which the wait expires if its server stalls."""
        return self._runner.register_wait(exchange, target, timeout)

    def silence_limit(
        self, exchange: _exchange.Exchange, patience_ms: int
    ) -> _silence_limit.SilenceLimit:
        """Returns a limit on the silence of the server of a request."""
        return self._runner.silence_limit(exchange, patience_ms)

    def handle_broken_response(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        error: _attempt.AttemptFailedError,
    ) -> None:
        """Records that a response broke off and checks that a retry is allowed.

        Raises:
            ForwardingError: The request must not be retried.
        """
        exchange.record_lost_run()
        self.outcomes.record_broken_response(exchange, target, error)
        self._retry_rules.check(exchange, error, 0)


def _has_served(
    starting: _attempt_task.AttemptTask[_attempt.BackendResponse],
) -> bool:
    """Returns whether an attempt has a response that is no error."""
    return starting.has_succeeded and not _attempt_runner.is_server_error(
        starting.task.result()
    )


def route_timeout_ms(route: model.Route, deadline_ms: int | None) -> int:
    """Returns the lower of a route's timeout and the caller's deadline."""
    if deadline_ms is None:
        return route.timeout_ms
    return min(route.timeout_ms, deadline_ms)
