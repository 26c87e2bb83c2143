"""Chooses where the next attempt of a request goes, and when."""

from collections.abc import Callable
import dataclasses
import random
from typing import Final

from lagooncrank import decisions
from lagooncrank import results
from lagooncrank.core import dispatch
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _attempt_parts
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _next_attempt
from lagooncrank.server.seeded import _refusals
from lagooncrank.server.seeded import _slot_queue
from lagooncrank.server.seeded import _startup_wait

#: Longest time for which callers are sent away while all servers rest: others
#: may start meanwhile.
MAX_CALLER_WAIT_MS: Final = 60_000


class AttemptChooser:
    """Chooses the next target, once the request may be sent."""

    def __init__(
        self,
        parts: _attempt_parts.AttemptParts,
        next_attempts: _next_attempt.NextAttempts,
    ) -> None:
        self._target_selector = parts.target_selector
        self._slot_queue = parts.slot_queue
        self._view = parts.view
        self._next_attempts = next_attempts
        self._crash_guard = parts.crash_guard
        self._live_servers = parts.reach_monitor.live_servers
        self._delegator = parts.delegator
        self._metrics = parts.metrics
        self._clock = parts.clock
        self._log = parts.log

    async def choose(
        self,
        exchange: _exchange.Exchange,
        last_error: _attempt.AttemptFailedError | None,
    ) -> dispatch.Target:
        """Returns the entry or the backend server for the next attempt.

        Raises:
            ForwardingError: There is none, or the request must not be retried.
            CallerLeftError: The caller has left.
        """
        self._next_attempts.release_slot(exchange)
        entry = self._choose_entry(exchange, last_error)
        if entry is None:
            self._check_accusations(exchange, last_error)
            await self._wait_for_admission(exchange, last_error)
            await self._wait_for_live_server(exchange)
            # The path to the servers may have been lost during the wait.
            entry = self._choose_entry(exchange, last_error)
        # Nothing is charged, and no slot is taken, for a caller that has left.
        exchange.check_caller()
        if entry is None:
            return self._next_server(exchange, last_error)
        if exchange.has_arrived:
            self._record_retry(exchange, entry, last_error)
        return entry

    def _choose_entry(
        self,
        exchange: _exchange.Exchange,
        last_error: _attempt.AttemptFailedError | None,
    ) -> dispatch.Target | None:
        """Returns the entry to delegate to; None to send to a server.

        Raises:
            ForwardingError: The request must not go either way.
        """
        entry = self._delegator.choose(exchange)
        if entry is None and self._delegator.must_refuse(exchange):
            raise _refusals.ForwardingError(
                _refusals.unreached_refusal(exchange, last_error)
            )
        return entry

    async def _wait_for_admission(
        self,
        exchange: _exchange.Exchange,
        last_error: _attempt.AttemptFailedError | None,
    ) -> None:
        """Waits until a request may be sent to a backend server."""
        if not exchange.tried:
            await self._wait_for_servers(exchange)
            await self._wait_for_slot(exchange, last_error)
        elif self._is_limited(exchange):
            await self._wait_for_slot(exchange, last_error)

    def _next_server(
        self,
        exchange: _exchange.Exchange,
        last_error: _attempt.AttemptFailedError | None,
    ) -> dispatch.Target:
        self._check_accusations(exchange, last_error)
        target = self._target_selector.choose(
            exchange.service,
            exchange.request_head.model_name,
            exchange.tried,
            self._usable(exchange),
        )
        if target is None and self._is_limited(exchange):
            raise _refusals.ForwardingError(
                self._limit_refusal(exchange, last_error)
            )
        if target is None:
            raise _refusals.ForwardingError(
                self._no_target_refusal(exchange, last_error)
            )
        if exchange.tried or exchange.has_arrived:
            self._record_retry(exchange, target, last_error)
        exchange.tried.append(target.server_id)
        return target

    def _usable(
        self, exchange: _exchange.Exchange
    ) -> Callable[[dispatch.Target], bool] | None:
        """Returns whether a request may go to a target; None for any.

        Of the servers for a repeat those with room are preferred that are known
        to read. With many entries, each of them hears only a few servers, and
        does not know which ones have room.
        """
        if exchange.needs_live_server:
            return self._live_servers.is_live
        if not exchange.has_arrived or not self._target_selector.knows_loads:
            return None
        free = self._target_selector.free_targets(
            exchange.service, exchange.request_head.model_name, exchange.tried
        )
        live = {t.server_id for t in free if self._live_servers.is_live(t)}
        return (lambda target: target.server_id in live) if live else None

    def _no_target_refusal(
        self,
        exchange: _exchange.Exchange,
        last_error: _attempt.AttemptFailedError | None,
    ) -> results.Refusal:
        is_over = exchange.remaining_ms(self._clock) <= 0
        if exchange.needs_live_server and is_over:
            # No server has shown that it is live in time.
            code = results.ResultCode.DEADLINE_EXCEEDED
            return _refusals.final_refusal(exchange, code, last_error)
        rest_ms = self._target_selector.rest_ms(
            exchange.service, exchange.request_head.model_name
        )
        if rest_ms is None:
            return _refusals.no_target_refusal(exchange, last_error)
        wait_ms = min(rest_ms, MAX_CALLER_WAIT_MS)
        return _refusals.resting_refusal(
            exchange, last_error, wait_ms, random.random()
        )

    def _record_retry(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        last_error: _attempt.AttemptFailedError | None,
    ) -> None:
        """Counts a retry, and takes it from the budget.

        The budget limits what arrives at servers beyond the first attempt, so
        an attempt after failed connections takes nothing from it.

        Raises:
            ForwardingError: The budget is spent.
        """
        is_charged = exchange.has_arrived
        if is_charged and not self._next_attempts.acquire(exchange):
            code = results.ResultCode.RETRY_BUDGET_SPENT
            raise _refusals.ForwardingError(
                _refusals.final_refusal(exchange, code, last_error)
            )
        self._metrics.count_retry(
            last_error.failure if last_error else "resumed",
            is_charged=is_charged,
        )
        self._log.write(
            decisions.Event.SENT_AGAIN,
            to=target.server_id,
            failure=last_error.failure if last_error else None,
            charged=is_charged,
            entries=self._view.sharing_entries.count(self._clock.now_ms()),
            heard_ago_ms=self._live_servers.heard_ago_ms(target),
            **exchange.log_fields(self._clock),
        )

    def _check_accusations(
        self,
        exchange: _exchange.Exchange,
        last_error: _attempt.AttemptFailedError | None,
    ) -> None:
        """Checks that a request is not known to crash backend servers.

        Raises:
            ForwardingError: The request must not run now.
        """
        accusation = self._crash_guard.find_accusation(exchange)
        if accusation is None:
            return
        code = results.ResultCode.CRASH_SUSPECTED
        refusal = _refusals.final_refusal(exchange, code, last_error)
        if refusal.ran is results.ExecutionStatus.NOT_RUN:
            retry_after_ms = self._crash_guard.retry_after_ms(accusation)
            refusal = dataclasses.replace(
                refusal, retry_after_ms=retry_after_ms
            )
        raise _refusals.ForwardingError(refusal)

    async def _wait_for_servers(self, exchange: _exchange.Exchange) -> None:
        """Waits for the first server reports after a start."""
        if not self._view.table.is_warmed_up and not self._has_target(exchange):
            remaining_ms = max(exchange.remaining_ms(self._clock), 0)
            await _startup_wait.wait_until(
                lambda: self._has_target(exchange),
                _startup_wait.wait_limit_ms(remaining_ms),
            )

    async def _wait_for_live_server(self, exchange: _exchange.Exchange) -> None:
        """Waits until a server is live, if the last one fell silent.

        Another attempt that stands still as well would be in vain.
        """
        if exchange.needs_live_server and not self._has_live_target(exchange):
            await _startup_wait.wait_until(
                lambda: self._has_live_target(exchange),
                max(exchange.remaining_ms(self._clock), 0),
            )

    def _has_live_target(self, exchange: _exchange.Exchange) -> bool:
        """Returns whether no wait for a live target is needed."""
        untried = self._target_selector.untried(
            exchange.service, exchange.request_head.model_name, exchange.tried
        )
        return not untried or bool(self._live_servers.find(untried))

    def _is_limited(self, exchange: _exchange.Exchange) -> bool:
        """Returns whether all targets of a request limit their requests."""
        return self._target_selector.is_limited(
            exchange.service, exchange.request_head.model_name, exchange.tried
        )

    async def _wait_for_slot(
        self,
        exchange: _exchange.Exchange,
        last_error: _attempt.AttemptFailedError | None,
    ) -> None:
        try:
            await self._slot_queue.wait(exchange)
        except _slot_queue.QueueTimeoutError as error:
            if self._is_limited(exchange):
                refusal = self._limit_refusal(exchange, last_error)
                raise _refusals.ForwardingError(refusal) from error
            code = results.ResultCode.QUEUE_TIMEOUT
            raise _refusals.ForwardingError(
                _refusals.final_refusal(exchange, code, last_error)
            ) from error

    def _limit_refusal(
        self,
        exchange: _exchange.Exchange,
        last_error: _attempt.AttemptFailedError | None,
    ) -> results.Refusal:
        """Returns the refusal of a request that limited servers do not take."""
        code = results.ResultCode.SERVER_LIMITED
        refusal = _refusals.final_refusal(exchange, code, last_error)
        if refusal.ran is not results.ExecutionStatus.NOT_RUN:
            return refusal
        wait_ms = self._target_selector.permit_wait_ms(
            exchange.service, exchange.request_head.model_name, exchange.tried
        )
        retry_after_ms = max(wait_ms, _refusals.OVERLOAD_RETRY_AFTER_MS)
        return dataclasses.replace(refusal, retry_after_ms=retry_after_ms)

    def _has_target(self, exchange: _exchange.Exchange) -> bool:
        return self._target_selector.has_untried(
            exchange.service, exchange.request_head.model_name, exchange.tried
        )
