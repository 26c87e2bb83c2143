"""Forwards requests to backend servers, with retries.

A request that may have run is retried only if its route allows more than one
run. Every retry consumes the retry budget that all entries share.
"""

import asyncio
import contextlib
import dataclasses
import random
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import dispatch
from lagooncrank.core import holds
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _crash_guard
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _delegator
from lagooncrank.server.seeded import _entry_metrics
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _reach_monitor
from lagooncrank.server.seeded import _refusals
from lagooncrank.server.seeded import _response_waits
from lagooncrank.server.seeded import _retry_rules
from lagooncrank.server.seeded import _server_limits
from lagooncrank.server.seeded import _slot_queue
from lagooncrank.server.seeded import _startup_wait
from lagooncrank.server.seeded import _target_selector

#: A request that may run again is retried elsewhere if there is no response
#: within this many times the target latency of its route.
RESPONSE_TIMEOUT_FACTOR: Final = 4
MIN_RESPONSE_TIMEOUT_MS: Final = 500
#: Lowest HTTP status of a server error.
FIRST_SERVER_ERROR_STATUS: Final = 500


class Forwarder:
    """Makes the attempts of all requests of one entry."""

    def __init__(
        self,
        target_selector: _target_selector.TargetSelector,
        view: _fleet_view.FleetView,
        client: _attempt.BackendClient,
        retry_budget: dispatch.SharedRetryBudget,
        crash_guard: _crash_guard.CrashGuard,
        limits: _server_limits.ServerLimits,
        reach_monitor: _reach_monitor.ReachMonitor,
        delegator: _delegator.Delegator,
        metrics: _entry_metrics.EntryMetrics,
        clock: clocks.Clock,
        log: _decision_log.DecisionLog,
    ) -> None:
        self._target_selector = target_selector
        self._view = view
        self._client = client
        self._retry_budget = retry_budget
        self._crash_guard = crash_guard
        self._retry_rules = _retry_rules.RetryRules(crash_guard, clock)
        self._limits = limits
        self._reach_monitor = reach_monitor
        self._delegator = delegator
        self._metrics = metrics
        self._clock = clock
        self._log = log
        self._response_waits = _response_waits.ResponseWaits()
        self._slot_queue = _slot_queue.SlotQueue(
            target_selector, view, metrics, clock
        )
        view.stall_detector.listeners.append(self._expire_waits)
        limits.listeners.append(self._slot_queue.grant_slots)
        reach_monitor.silence_listeners.append(self._expire_silent_waits)

    async def open(
        self, exchange: _exchange.Exchange
    ) -> tuple[dispatch.Target, _attempt.BackendResponse]:
        """Makes attempts until one yields a response for the caller.

        The caller of this method must call `close` with the target.

        Returns:
            The target of the successful attempt and its response.

        Raises:
            ForwardingError: No attempt succeeded and no other is allowed.
        """
        rejections = 0
        last_error: _attempt.AttemptFailedError | None = None
        while True:
            target = await self._next_target(exchange, last_error)
            try:
                return target, await self._start_attempt(exchange, target)
            except _attempt.AttemptFailedError as error:
                last_error = error
            self._record_lost(exchange, target, last_error, has_begun=False)
            self._record_failure(exchange, target, last_error)
            if last_error.may_have_run:
                exchange.record_lost_run()
            elif not target.is_entry:
                rejections += 1
            self._retry_rules.check(exchange, last_error, rejections)

    def close(
        self, exchange: _exchange.Exchange, target: dispatch.Target
    ) -> None:
        """Records that a request no longer runs at its target."""
        if target.is_entry:
            self._delegator.end(target)
            return
        self._reach_monitor.silence.end(exchange.number)
        self._view.loads.end(target.server_id)
        self._slot_queue.end(exchange)
        self._view.stall_detector.progress.end(
            target.server_id, exchange.number
        )

    def register_wait(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        timeout: asyncio.Timeout,
    ) -> contextlib.AbstractContextManager[None]:
        """Returns a context in which the wait expires if its server stalls."""
        return self._response_waits.register(
            target.server_id, exchange, timeout
        )

    def _expire_waits(self, servers: frozenset[str]) -> None:
        """Expires waits at stalled servers, so that their requests are retried.

        Only overdue requests that may still be retried are affected.
        """
        now_ms = self._clock.now_ms()
        self._response_waits.expire(
            servers,
            lambda server_id, exchange: (
                self._view.stall_detector.progress.is_overdue(
                    server_id, exchange.number, now_ms
                )
                and self._may_retry(exchange)
            ),
        )

    def _expire_silent_waits(self, servers: frozenset[str]) -> None:
        """Expires waits at servers that this entry has lost its path to."""
        self._response_waits.expire(
            servers, lambda _server_id, exchange: self._may_retry(exchange)
        )

    def record_event(
        self, exchange: _exchange.Exchange, target: dispatch.Target
    ) -> None:
        """Records that a response made progress."""
        if target.is_entry:
            return
        self._reach_monitor.silence.record_heard(exchange.number)
        self._view.stall_detector.progress.record_event(
            target.server_id, exchange.number, self._clock.now_ms()
        )
        self._crash_guard.record_event(exchange)

    def record_complete(
        self, exchange: _exchange.Exchange, target: dispatch.Target
    ) -> None:
        """Records that a response is complete."""
        if target.is_entry:
            return
        self._crash_guard.record_sound(exchange)

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
        if target.is_entry:
            self._delegator.record_failure(target, error)
        self._record_failure(exchange, target, error)
        self._record_lost(exchange, target, error, has_begun=True)
        self._retry_rules.check(exchange, error, 0)

    def _record_lost(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        error: _attempt.AttemptFailedError,
        *,
        has_begun: bool,
    ) -> None:
        """Records a failed attempt, which may show that its server crashed."""
        if target.is_entry:
            return
        if error.failure is _attempt.FailureKind.RESPONSE_LOST:
            now_ms = self._clock.now_ms()
            self._log.write(
                decisions.Event.RUN_LOST,
                server=target.server_id,
                born_ms=target.born_ms,
                events=exchange.run_events if has_begun else None,
                run_ms=now_ms - exchange.run_began_ms if has_begun else None,
                parts=exchange.request_head.shared_parts,
                content=exchange.content_digest(),
                **exchange.log_fields(self._clock),
            )
        self._crash_guard.record_lost(
            exchange, target, error, has_begun=has_begun
        )

    async def _wait_for_servers(self, exchange: _exchange.Exchange) -> None:
        """Waits for the first server reports after a start."""
        if not self._view.table.is_warmed_up and not self._has_target(exchange):
            remaining_ms = max(exchange.remaining_ms(self._clock), 0)
            await _startup_wait.wait_until(
                lambda: self._has_target(exchange),
                _startup_wait.wait_limit_ms(remaining_ms),
            )

    def _has_target(self, exchange: _exchange.Exchange) -> bool:
        return self._target_selector.has_untried(
            exchange.service, exchange.request_head.model_name, exchange.tried
        )

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

    async def _next_target(
        self,
        exchange: _exchange.Exchange,
        last_error: _attempt.AttemptFailedError | None,
    ) -> dispatch.Target:
        """Returns the entry or the backend server for the next attempt.

        Raises:
            ForwardingError: There is none, or the request must not be retried.
        """
        entry = self._delegator.choose(exchange)
        if entry is None:
            self._check_accusations(exchange, last_error)
            await self._wait_for_admission(exchange, last_error)
            # The path to the servers may have been lost during the wait.
            entry = self._delegator.choose(exchange)
        if entry is None:
            return self._next_server(exchange, last_error)
        if exchange.has_arrived:
            self._spend_retry(exchange, entry, last_error)
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
            exchange.service, exchange.request_head.model_name, exchange.tried
        )
        if target is None and self._is_limited(exchange):
            raise _refusals.ForwardingError(
                self._limit_refusal(exchange, last_error)
            )
        if target is None:
            raise _refusals.ForwardingError(
                self._no_target_refusal(exchange, last_error)
            )
        if exchange.tried:
            self._spend_retry(exchange, target, last_error)
        exchange.tried.append(target.server_id)
        return target

    def _no_target_refusal(
        self,
        exchange: _exchange.Exchange,
        last_error: _attempt.AttemptFailedError | None,
    ) -> results.Refusal:
        rest_ms = self._target_selector.rest_ms(
            exchange.service, exchange.request_head.model_name
        )
        if rest_ms is None:
            return _refusals.no_target_refusal(exchange, last_error)
        return _refusals.resting_refusal(
            exchange, last_error, rest_ms, random.random()
        )

    def _spend_retry(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        last_error: _attempt.AttemptFailedError | None,
    ) -> None:
        """Takes a retry from the budget.

        Raises:
            ForwardingError: The budget is spent.
        """
        entry_count = self._view.entry_count
        now_ms = self._clock.now_ms()
        if not self._retry_budget.try_acquire(
            exchange.service, entry_count, now_ms
        ):
            code = results.ResultCode.RETRY_BUDGET_SPENT
            raise _refusals.ForwardingError(
                _refusals.final_refusal(exchange, code, last_error)
            )
        self._metrics.count_retry(
            last_error.failure if last_error else "resumed"
        )
        self._log.write(
            decisions.Event.SENT_AGAIN,
            to=target.server_id,
            failure=last_error.failure if last_error else None,
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

    async def _start_attempt(
        self, exchange: _exchange.Exchange, target: dispatch.Target
    ) -> _attempt.BackendResponse:
        if target.is_entry:
            return await self._start_delegation(exchange, target)
        self._view.loads.begin(target.server_id)
        self._slot_queue.begin(exchange)
        if target.group:
            self._view.stall_detector.progress.begin(
                target.server_id, exchange.number, self._clock.now_ms()
            )
        is_open = False
        try:
            backend_response = await self._send_request(exchange, target)
            is_open = True
        finally:
            if not is_open:
                self.close(exchange, target)
        self._target_selector.backoff.record_success(target.server_id)
        exchange.begin_run(self._clock.now_ms())
        if exchange.route.kind is model.RequestKind.STREAM:
            # The server owes events from now on.
            self._reach_monitor.silence.begin(exchange.number, target.server_id)
        return backend_response

    async def _start_delegation(
        self, exchange: _exchange.Exchange, target: dispatch.Target
    ) -> _attempt.BackendResponse:
        """Delegates a request to another entry."""
        self._delegator.begin(target)
        wait_ms = self._delegation_timeout_ms(exchange)
        is_open = False
        try:
            async with asyncio.timeout(wait_ms / clocks.MS_PER_S):
                backend_response = await self._delegator.open(exchange, target)
            is_open = True
            if (leaving := exchange.leaving_server) is not None:
                # The caller gets the response of that server from this entry.
                self._record_availability(
                    leaving, holds.StatedAvailability(is_leaving=True)
                )
        except TimeoutError as error:
            failure = _attempt.AttemptFailedError(
                _attempt.FailureKind.TIMED_OUT,
                f"no response of an entry within {wait_ms} ms",
            )
            self._delegator.record_failure(target, failure)
            raise failure from error
        finally:
            if not is_open:
                self._delegator.end(target)
        exchange.begin_run(self._clock.now_ms())
        return backend_response

    async def _send_request(
        self, exchange: _exchange.Exchange, target: dispatch.Target
    ) -> _attempt.BackendResponse:
        metadata = exchange.forwarding_metadata(target, self._clock)
        wait_ms = self._response_timeout_ms(exchange)
        sent_ms = self._clock.now_ms()
        observer = self._reach_monitor.observe(target.server_id)
        try:
            async with asyncio.timeout(wait_ms / clocks.MS_PER_S) as timeout:
                with self.register_wait(exchange, target, timeout):
                    backend_response = await self._client.open(
                        target,
                        exchange.request_head,
                        metadata,
                        exchange.body,
                        observer=observer,
                    )
        except TimeoutError as error:
            failure = _attempt.AttemptFailedError(
                _attempt.FailureKind.TIMED_OUT,
                f"no response within {wait_ms} ms",
            )
            self._reach_monitor.record_failure(
                exchange.service, observer, failure
            )
            raise failure from error
        except _attempt.AttemptFailedError as error:
            self._reach_monitor.record_failure(
                exchange.service, observer, error
            )
            if error.head is not None and not error.head.is_other_server:
                self._record_statements(target, error.head, sent_ms)
            raise
        finally:
            observer.end()
        self._reach_monitor.record_response(exchange.service, observer)
        self._record_statements(target, backend_response.head, sent_ms)
        if (
            backend_response.head.status >= FIRST_SERVER_ERROR_STATUS
            and self._may_retry(exchange)
        ):
            backend_response.close()
            raise _attempt.AttemptFailedError(
                _attempt.FailureKind.SERVER_ERROR,
                str(backend_response.head.status),
            )
        return backend_response

    def _record_statements(
        self,
        target: dispatch.Target,
        head: _adapter.ResponseHead,
        sent_ms: int,
    ) -> None:
        """Records what a response says about its server.

        Args:
            target: The server.
            head: Head of the response.
            sent_ms: When the request was sent.
        """
        self._limits.record_response(target, head.limit, sent_ms)
        self._record_availability(target.process, head.availability)

    def _record_availability(
        self, process: holds.Process, stated: holds.StatedAvailability
    ) -> None:
        """Records whether a server takes new requests, by its own word."""
        is_new = self._target_selector.holds.record(
            process, stated, self._clock.now_ms()
        )
        if not is_new:
            return
        server_id, born_ms = process
        if stated.is_leaving:
            self._metrics.count_hold("leaving")
            self._log.write(
                decisions.Event.SERVER_LEAVING,
                server=server_id,
                born_ms=born_ms,
            )
        if stated.rest_ms:
            self._metrics.count_hold("rest")
            self._log.write(
                decisions.Event.SERVER_RESTING,
                server=server_id,
                born_ms=born_ms,
                rest_ms=stated.rest_ms,
            )

    def _response_timeout_ms(self, exchange: _exchange.Exchange) -> int:
        """Returns how long to wait for the head of a response."""
        remaining_ms = max(exchange.remaining_ms(self._clock), 0)
        if not self._may_retry(exchange):
            return remaining_ms
        target_ms = exchange.route.target_latency_ms
        return min(
            remaining_ms,
            max(RESPONSE_TIMEOUT_FACTOR * target_ms, MIN_RESPONSE_TIMEOUT_MS),
        )

    def _delegation_timeout_ms(self, exchange: _exchange.Exchange) -> int:
        """Returns how long to wait for the head of an entry's response.

        It is long enough for a retry by that entry.
        """
        remaining_ms = max(exchange.remaining_ms(self._clock), 0)
        if not exchange.route.is_retry_safe:
            return remaining_ms
        wait_ms = RESPONSE_TIMEOUT_FACTOR * exchange.route.target_latency_ms
        return min(remaining_ms, 2 * max(wait_ms, MIN_RESPONSE_TIMEOUT_MS))

    def _may_retry(self, exchange: _exchange.Exchange) -> bool:
        """Returns whether a request may run again if this attempt fails."""
        route = exchange.route
        if (
            not route.is_retry_safe
            or exchange.possible_runs + 1 >= route.max_attempts
        ):
            return False
        return self._has_target(exchange)

    def _record_failure(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        error: _attempt.AttemptFailedError,
    ) -> None:
        self._metrics.count_failure(error.failure)
        if target.is_entry:
            return
        if error.failure is not _attempt.FailureKind.CONNECT:
            exchange.has_arrived = True
        if error.failure is not _attempt.FailureKind.SERVER_ERROR:
            self._target_selector.record_failure(target)
        if error.failure is _attempt.FailureKind.TIMED_OUT and target.group:
            self._view.stall_detector.record_timeout(
                target.server_id, self._clock.now_ms()
            )


def route_timeout_ms(route: model.Route, deadline_ms: int | None) -> int:
    """Returns the lower of a route's timeout and the caller's deadline."""
    if deadline_ms is None:
        return route.timeout_ms
    return min(route.timeout_ms, deadline_ms)
