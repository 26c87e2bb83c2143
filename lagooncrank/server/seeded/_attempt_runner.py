"""Makes one attempt of a request: at a backend server or another entry."""

from collections.abc import Iterator
import contextlib
import enum
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import model
from lagooncrank.core import dispatch
from lagooncrank.core import holds
from lagooncrank.core import responders
from lagooncrank.server import _deadlines
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _attempt_parts
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _next_attempt
from lagooncrank.server.seeded import _response_waits
from lagooncrank.server.seeded import _send_context
from lagooncrank.server.seeded import _silence_limit

#: A request that may run again is retried elsewhere if there is no response
#: within this many times the target latency of its route.
RESPONSE_TIMEOUT_FACTOR: Final = 4
MIN_RESPONSE_TIMEOUT_MS: Final = 500
#: Lowest HTTP status of a server error.
FIRST_SERVER_ERROR_STATUS: Final = 500


class GivenUpFor(enum.StrEnum):
    """Why a run is taken for silent."""

    #: The server sent nothing for a while.
    PAUSE = "pause"
    #: Other streams of the server, or of other entries there, make no progress.
    STALL = "stall"
    #: This entry has no path to the service.
    LOST_PATH = "lost_path"


class AttemptRunner:
    """Sends requests, and learns from the heads of the responses."""

    def __init__(
        self,
        parts: _attempt_parts.AttemptParts,
        next_attempts: _next_attempt.NextAttempts,
    ) -> None:
        self._target_selector = parts.target_selector
        self._slot_queue = parts.slot_queue
        self._view = parts.view
        self._client = parts.client
        self._limits = parts.limits
        self._reach_monitor = parts.reach_monitor
        self._delegator = parts.delegator
        self._next_attempts = next_attempts
        self._metrics = parts.metrics
        self._clock = parts.clock
        self._unix_time = clocks.LatestUnixTime(parts.clock)
        self._observed_clock = parts.observed_clock
        self._log = parts.log
        self._response_waits = _response_waits.ResponseWaits()
        #: Servers that have stalled, of which some may have gone on since.
        self._stalled: frozenset[str] = frozenset()
        parts.view.stall_detector.listeners.append(self._expire_waits)
        parts.reach_monitor.silence_listeners.append(self._expire_silent_waits)
        parts.reach_monitor.live_servers.listeners.append(
            self._expire_stalled_waits
        )

    def begin(
        self, exchange: _exchange.Exchange, target: dispatch.Target
    ) -> None:
        """Counts a request at its target, from the step that chose it on.

        The caller of this method must call `close`.
        """
        exchange.was_sent = True
        exchange.begin_silence(self._observed_clock.missed_ms)
        if target.is_entry:
            self._delegator.begin(target)
            return
        self._view.loads.begin(target.server_id)
        self._slot_queue.begin(exchange)
        if target.group:
            self._view.stall_detector.progress.begin(
                target.server_id,
                exchange.number,
                self._observed_clock.now_ms(),
            )

    async def send(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        silence: _silence_limit.SilenceSignal,
    ) -> _attempt.BackendResponse:
        """Sends a request to a target and waits for the response's head.

        Args:
            exchange: The request.
            target: Where to send it.
            silence: Is told if the server is silent, and the request may be
                attempted elsewhere; the wait goes on.

        Raises:
            AttemptFailedError: No response for the caller arrived.
            ForwardingError: Another entry refused the request.
            CallerLeftError: The caller has left; nothing was sent.
        """
        if target.is_entry:
            return await self._delegate(exchange, target)
        backend_response = await self._send_to_server(exchange, target, silence)
        exchange.begin_run(self._clock.now_ms())
        exchange.begin_silence(self._observed_clock.missed_ms)
        if is_server_error(backend_response):
            return backend_response
        self._target_selector.backoff.record_success(target.server_id)
        if exchange.route.kind is model.RequestKind.STREAM:
            # The server owes events from now on.
            self._reach_monitor.silence.begin(
                (exchange.number, target.server_id), target.server_id
            )
        return backend_response

    def close(
        self, exchange: _exchange.Exchange, target: dispatch.Target
    ) -> None:
        """Records that a request no longer runs at its target."""
        if target.is_entry:
            self._delegator.end(target)
            return
        self._reach_monitor.silence.end((exchange.number, target.server_id))
        self._view.loads.end(target.server_id)
        self._slot_queue.end(exchange)
        self._view.stall_detector.progress.end(
            target.server_id, exchange.number
        )

    async def _delegate(
        self, exchange: _exchange.Exchange, target: dispatch.Target
    ) -> _attempt.BackendResponse:
        """Delegates a request to another entry."""
        began_ms = self._clock.now_ms()
        remaining_ms = exchange.remaining_ms(self._clock)
        try:
            # The other entry retries at silent servers; once it may have done
            # so, nothing is left for an attempt elsewhere.
            async with _deadlines.after(remaining_ms):
                backend_response = await self._delegator.open(exchange, target)
            if (leaving := exchange.leaving_server) is not None:
                # The caller gets the response of that server from this entry.
                self._record_availability(
                    leaving, holds.StatedAvailability(is_leaving=True)
                )
        except TimeoutError as error:
            failure = _attempt.AttemptFailedError(
                _attempt.FailureKind.TIMED_OUT, "no response of an entry"
            )
            if not exchange.was_missed(self._observed_clock.missed_ms):
                self._delegator.record_failure(target, failure)
            self._count_unseen_runs(exchange, began_ms)
            raise failure from error
        except _attempt.AttemptFailedError as error:
            if error.may_have_run:
                self._count_unseen_runs(exchange, began_ms)
            raise
        exchange.begin_run(self._clock.now_ms())
        exchange.begin_silence(self._observed_clock.missed_ms)
        return backend_response

    def _count_unseen_runs(
        self, exchange: _exchange.Exchange, began_ms: int
    ) -> None:
        """Counts the runs of an entry that did not state any.

        For as long as it is patient with its first server it makes no second
        attempt. After that the request may have run as often as its route
        allows. It goes on while this entry stands still, so that time counts.
        """
        waited_ms = self._clock.now_ms() - began_ms
        if waited_ms >= _patience_ms(exchange):
            exchange.delegated_runs = exchange.route.max_attempts

    async def _send_to_server(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        silence: _silence_limit.SilenceSignal,
    ) -> _attempt.BackendResponse:
        metadata = exchange.forwarding_metadata(target, self._clock)
        sent_ms = self._clock.now_ms()
        observer = self._reach_monitor.observe(target.server_id)
        silence.listeners.append(
            lambda: self._reach_monitor.record_failure(
                exchange.service,
                observer,
                silence_failure(self._clock.now_ms() - sent_ms),
            )
        )
        remaining_ms = exchange.remaining_ms(self._clock)
        try:
            with self._limit_silence(exchange, target, silence):
                async with _deadlines.after(remaining_ms):
                    backend_response = await self._client.open(
                        target,
                        exchange.request_head,
                        metadata,
                        exchange.body,
                        context=_send_context.SendContext(
                            observer, exchange.check_caller
                        ),
                    )
        except TimeoutError as error:
            failure = silence_failure(self._clock.now_ms() - sent_ms)
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
        self, process: responders.Process, stated: holds.StatedAvailability
    ) -> None:
        """Records whether a server takes new requests, by its own word.

        Args:
            process: Process that the request was meant for.
            stated: What the response says.
        """
        responder = responders.Responder.at_time(
            process, self._unix_time.now_ms()
        )
        is_new = self._target_selector.holds.record(
            responder, stated, self._clock.now_ms()
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
                latest_start_ms=responder.latest_start_ms,
            )
        if stated.rest_ms:
            self._metrics.count_hold("rest")
            self._log.write(
                decisions.Event.SERVER_RESTING,
                server=server_id,
                born_ms=born_ms,
                latest_start_ms=responder.latest_start_ms,
                rest_ms=stated.rest_ms,
            )

    @contextlib.contextmanager
    def _limit_silence(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        silence: _silence_limit.SilenceSignal,
    ) -> Iterator[None]:
        """Returns a context in which a silence of a server is told."""
        silence_limit = self.silence_limit(exchange, _patience_ms(exchange))
        try:
            with (
                silence_limit.watch(silence),
                self.register_wait(exchange, target, silence),
            ):
                yield
        finally:
            silence_limit.close()

    def silence_limit(
        self, exchange: _exchange.Exchange, patience_ms: int
    ) -> _silence_limit.SilenceLimit:
        """Returns a limit on the silence of the server of a request.

        Args:
            exchange: The request; without a limit if it must not run twice.
            patience_ms: Longest silence while there are other servers, in
                observed time.
        """
        return _silence_limit.SilenceLimit(
            self._observed_clock,
            patience_ms if exchange.route.is_retry_safe else None,
            lambda: self._may_give_up(exchange, GivenUpFor.PAUSE),
        )

    def register_wait(
        self,
        exchange: _exchange.Exchange,
        target: dispatch.Target,
        timeout: _silence_limit.Expirable,
    ) -> contextlib.AbstractContextManager[None]:
        """Returns a context in which the wait expires if its server stalls."""
        return self._response_waits.register(
            target.server_id, exchange, timeout
        )

    def _expire_waits(self, servers: frozenset[str]) -> None:
        """Expires waits at stalled servers, so that their requests are retried.

        Only overdue requests that may still be retried are affected.
        """
        still_stalled = self._view.stall_detector.stalled_servers(
            self._clock.now_ms()
        )
        self._stalled = (self._stalled | servers) & still_stalled
        observed_ms = self._observed_clock.now_ms()
        self._response_waits.expire(
            servers,
            lambda server_id, exchange: (
                self._view.stall_detector.progress.is_overdue(
                    server_id, exchange.number, observed_ms
                )
                and self._may_give_up(exchange, GivenUpFor.STALL)
            ),
        )

    def _expire_stalled_waits(self) -> None:
        """Expires waits that went on for want of a server that is live."""
        self._expire_waits(self._stalled)

    def _expire_silent_waits(self, servers: frozenset[str]) -> None:
        """Expires waits at servers that this entry has lost its path to."""
        self._response_waits.expire(
            servers,
            lambda _server_id, exchange: self._may_give_up(
                exchange, GivenUpFor.LOST_PATH
            ),
        )

    def _may_give_up(
        self, exchange: _exchange.Exchange, reason: GivenUpFor
    ) -> bool:
        """Returns whether a silent run is given up, and notes why."""
        if not self._next_attempts.try_reserve(exchange, is_silent=True):
            return False
        exchange.give_up(reason, self._observed_clock.missed_ms)
        self._metrics.count_silent_run(reason, was_late=exchange.missed_ms > 0)
        return True


def is_server_error(response: _attempt.BackendResponse) -> bool:
    """Returns whether a backend server reports an error of its own."""
    return response.head.status >= FIRST_SERVER_ERROR_STATUS


def silence_failure(waited_ms: int) -> _attempt.AttemptFailedError:
    """Returns the failure of an attempt without a response for some time."""
    return _attempt.AttemptFailedError(
        _attempt.FailureKind.TIMED_OUT, f"no response within {waited_ms} ms"
    )


def _patience_ms(exchange: _exchange.Exchange) -> int:
    """Returns how long a request waits for a response before it is retried.

    It is observed time of the entry that waits, so never less than real time.
    """
    return max(
        RESPONSE_TIMEOUT_FACTOR * exchange.route.target_latency_ms,
        MIN_RESPONSE_TIMEOUT_MS,
    )
