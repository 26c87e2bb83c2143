"""Sends requests to backend servers until one answers.

A request that may have run is sent again only if its route lets it run more
than once. Every further send spends the allowance that all entries share.
"""

import asyncio
import contextlib
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import dispatch
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _decisions
from lagooncrank.server.seeded import _entry_metrics
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _starting
from lagooncrank.server.seeded import _targets
from lagooncrank.server.seeded import _turns
from lagooncrank.server.seeded import _waits

#: Sends of one request that servers refused to run, at most.
MAX_NOT_RUN: Final = 3
#: A repeatable request is sent elsewhere when its answer takes this many
#: times the latency that its route aims at.
PATIENCE_FACTOR: Final = 4
MIN_PATIENCE_MS: Final = 500
#: Time left below which a further send cannot succeed.
MIN_LEFT_MS: Final = 20
#: Wait of callers that were refused for lack of a target: a group forms in a
#: second or two.
NO_TARGET_RETRY_MS: Final = 1_500
FULL_RETRY_MS: Final = 250
SERVER_ERROR: Final = 500


class ForwardingError(Exception):
    """A request ends without a backend server's answer."""

    def __init__(self, refusal: results.Refusal) -> None:
        self.refusal = refusal
        super().__init__(refusal.reason)


class Forwarder:
    """Makes the attempts of one entry."""

    def __init__(
        self,
        targets: _targets.Targets,
        view: _fleet_view.FleetView,
        client: _attempt.BackendClient,
        allowance: dispatch.SharedRetryBudget,
        metrics: _entry_metrics.EntryMetrics,
        clock: clocks.Clock,
        log: _decisions.DecisionLog,
    ) -> None:
        self._targets = targets
        self._view = view
        self._client = client
        self._allowance = allowance
        self._metrics = metrics
        self._clock = clock
        self._log = log
        self._waits = _waits.Waits()
        self._turns = _turns.Turns(targets, view, metrics, clock)
        view.stalls.listeners.append(self._end_waits)

    async def open(
        self, exchange: _exchange.Exchange
    ) -> tuple[dispatch.Target, _attempt.Answer]:
        """Returns the first answer that can be given to the caller.

        The caller of this method must call `close` with the target.

        Raises:
            ForwardingError: There is none.
        """
        if not exchange.tried:
            await self._wait_for_servers(exchange)
            await self._take_turn(exchange)
        not_run = 0
        last: _attempt.AttemptFailedError | None = None
        while True:
            target = self._next_target(exchange, last)
            try:
                return target, await self._try(exchange, target)
            except _attempt.AttemptFailedError as error:
                last = error
            self._note_failure(exchange, target, last)
            if last.may_have_run:
                exchange.runs += 1
            else:
                not_run += 1
            self._check_again(exchange, last, not_run)

    def close(
        self, exchange: _exchange.Exchange, target: dispatch.Target
    ) -> None:
        """Ends the count of a request at its target."""
        self._view.loads.end(target.server_id)
        self._turns.end(exchange)
        self._view.stalls.progress.end(target.server_id, exchange.number)

    def waiting(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        timeout: asyncio.Timeout,
    ) -> contextlib.AbstractContextManager[None]:
        """Lets a wait end early when its server is found to stand still."""
        return self._waits.running(target.server_id, exchange, timeout)

    def _end_waits(self, servers: frozenset[str]) -> None:
        """Ends the waits at servers that stand still, to try elsewhere."""
        now_ms = self._clock.now_ms()
        self._waits.end(
            servers,
            lambda server_id, exchange: (
                self._view.stalls.progress.is_overdue(
                    server_id, exchange.number, now_ms
                )
                and self._may_try_on(exchange)
            ),
        )

    def record_event(
        self, exchange: _exchange.Exchange, target: dispatch.Target
    ) -> None:
        """Notes that an answer goes on."""
        self._view.stalls.progress.record_event(
            target.server_id, exchange.number, self._clock.now_ms()
        )

    def note_broken(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        error: _attempt.AttemptFailedError,
    ) -> None:
        """Takes an answer that broke off; raises if it cannot go on.

        Raises:
            ForwardingError: The stream cannot be resumed elsewhere.
        """
        exchange.runs += 1
        self._note_failure(exchange, target, error)
        self._check_again(exchange, error, 0)

    async def _wait_for_servers(self, exchange: _exchange.Exchange) -> None:
        """Waits for the first reports of servers after a start."""
        if not self._view.table.is_warmed_up and not self._has_target(exchange):
            left_ms = max(exchange.left_ms(self._clock), 0)
            await _starting.wait_until(
                lambda: self._has_target(exchange),
                _starting.wait_limit_ms(left_ms),
            )

    def _has_target(self, exchange: _exchange.Exchange) -> bool:
        return self._targets.has_other(
            exchange.service, exchange.call.model_name, exchange.tried
        )

    async def _take_turn(self, exchange: _exchange.Exchange) -> None:
        try:
            await self._turns.wait(exchange)
        except _turns.NoTurnError as error:
            code = results.ResultCode.QUEUE_TIMEOUT
            raise ForwardingError(_ended(exchange, code, None)) from error

    def _next_target(
        self,
        exchange: _exchange.Exchange,
        last: _attempt.AttemptFailedError | None,
    ) -> dispatch.Target:
        target = self._targets.choose(
            exchange.service, exchange.call.model_name, exchange.tried
        )
        if target is None:
            raise ForwardingError(_no_target(exchange, last))
        is_repeat = bool(exchange.tried)
        if is_repeat:
            entries = self._view.entry_count
            now_ms = self._clock.now_ms()
            if not self._allowance.try_acquire(
                exchange.service, entries, now_ms
            ):
                code = results.ResultCode.RETRY_BUDGET_SPENT
                raise ForwardingError(_ended(exchange, code, last))
            self._metrics.retried(last.failure if last else "resumed")
            self._log.write(
                decisions.Event.SENT_AGAIN,
                to=target.server_id,
                failure=last.failure if last else None,
                **exchange.log_fields(self._clock),
            )
        exchange.tried.append(target.server_id)
        return target

    async def _try(
        self, exchange: _exchange.Exchange, target: dispatch.Target
    ) -> _attempt.Answer:
        self._view.loads.begin(target.server_id)
        self._turns.begin(exchange)
        if target.group:
            self._view.stalls.progress.begin(
                target.server_id, exchange.number, self._clock.now_ms()
            )
        is_open = False
        try:
            answer = await self._send(exchange, target)
            is_open = True
        finally:
            if not is_open:
                self.close(exchange, target)
        self._targets.suspects.record_success(target.server_id)
        return answer

    async def _send(
        self, exchange: _exchange.Exchange, target: dispatch.Target
    ) -> _attempt.Answer:
        marks = exchange.marks(target, self._clock)
        wait_ms = self._patience_ms(exchange)
        try:
            async with asyncio.timeout(wait_ms / clocks.MS_PER_S) as timeout:
                with self.waiting(exchange, target, timeout):
                    answer = await self._client.open(
                        target, exchange.call, marks, exchange.body
                    )
        except TimeoutError as error:
            raise _attempt.AttemptFailedError(
                _attempt.Failure.SILENT, f"no answer; limit {wait_ms} ms"
            ) from error
        if answer.head.status >= SERVER_ERROR and self._may_try_on(exchange):
            answer.close()
            raise _attempt.AttemptFailedError(
                _attempt.Failure.SERVER_ERROR, str(answer.head.status)
            )
        return answer

    def _patience_ms(self, exchange: _exchange.Exchange) -> int:
        """Returns how long to wait for the head of an answer."""
        left_ms = max(exchange.left_ms(self._clock), 0)
        if not self._may_try_on(exchange):
            return left_ms
        aim_ms = exchange.route.target_latency_ms
        return min(left_ms, max(PATIENCE_FACTOR * aim_ms, MIN_PATIENCE_MS))

    def _may_try_on(self, exchange: _exchange.Exchange) -> bool:
        """Whether a run more would be allowed after the present one."""
        route = exchange.route
        if not route.is_retry_safe or exchange.runs + 1 >= route.max_attempts:
            return False
        return self._has_target(exchange)

    def _note_failure(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        error: _attempt.AttemptFailedError,
    ) -> None:
        if error.failure is not _attempt.Failure.SERVER_ERROR:
            self._targets.failed(target)

    def _check_again(
        self,
        exchange: _exchange.Exchange,
        error: _attempt.AttemptFailedError,
        not_run: int,
    ) -> None:
        """Makes sure that the request may be sent once more.

        Raises:
            ForwardingError: It may not.
        """
        left_ms = exchange.left_ms(self._clock)
        if left_ms < MIN_LEFT_MS:
            code = results.ResultCode.DEADLINE_EXCEEDED
            raise ForwardingError(_ended(exchange, code, error))
        if not_run >= MAX_NOT_RUN:
            code = results.ResultCode.BACKEND_OVERLOADED
            raise ForwardingError(_ended(exchange, code, error))
        if exchange.runs == 0:
            return
        route = exchange.route
        if not route.is_retry_safe:
            code = results.ResultCode.OUTCOME_UNKNOWN
            raise ForwardingError(_ended(exchange, code, error))
        if exchange.runs >= route.max_attempts:
            code = results.ResultCode.BACKEND_LOST
            raise ForwardingError(_ended(exchange, code, error))


def _no_target(
    exchange: _exchange.Exchange, last: _attempt.AttemptFailedError | None
) -> results.Refusal:
    code = results.ResultCode.NO_BACKEND_SERVER
    if exchange.call.model_name:
        code = results.ResultCode.NO_SERVING_REPLICA
    return _ended(exchange, code, last)


def _ended(
    exchange: _exchange.Exchange,
    code: results.ResultCode,
    last: _attempt.AttemptFailedError | None,
) -> results.Refusal:
    """Returns the refusal that ends a request, true about its runs."""
    detail = f" after {last}" if last else ""
    reason = f"route {exchange.route.name!r}: {code.meaning}{detail}"
    if exchange.runs:
        # Only a code whose status promises nothing may follow a run.
        if code.http_status not in (502, 504):
            code = results.ResultCode.BACKEND_LOST
        return results.Refusal(code, reason, results.ExecutionStatus.UNKNOWN)
    if code.http_status not in (429, 503):
        code = results.ResultCode.BACKEND_OVERLOADED
    retry_ms = FULL_RETRY_MS if last else NO_TARGET_RETRY_MS
    return results.Refusal(
        code, reason, results.ExecutionStatus.NOT_RUN, retry_after_ms=retry_ms
    )


def route_timeout_ms(route: model.Route, deadline_ms: int | None) -> int:
    """Returns how long a request may take, by its route and its caller."""
    if deadline_ms is None:
        return route.timeout_ms
    return min(route.timeout_ms, deadline_ms)


def lost(
    exchange: _exchange.Exchange, error: _attempt.AttemptFailedError
) -> results.Refusal:
    """Returns the refusal of a stream that cannot go on."""
    return _ended(exchange, results.ResultCode.BACKEND_LOST, error)
