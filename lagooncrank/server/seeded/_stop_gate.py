"""Refuses requests that would not end before the cut of a planned stop."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank.core import drain
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _refusals

#: Delay before callers should retry while other entries are open.
RETRY_AFTER_MS: Final = 20
#: The same while there are none; the first one may be back by then.
ALONE_RETRY_AFTER_MS: Final = 1_000

_Wait = tuple[_exchange.Exchange, asyncio.Timeout]


class StopGate:
    """Learns how long requests take, and applies the plan of a stop."""

    def __init__(
        self, view: _fleet_view.FleetView, clock: clocks.Clock
    ) -> None:
        self._view = view
        self._clock = clock
        self._by_route = drain.RecentDurations()
        #: For routes of which too little is known.
        self._by_service = drain.RecentDurations()
        #: Plan of the stop; None while this entry does not stop.
        self._plan: drain.StopPlan | None = None
        #: Requests that have not been sent yet.
        self._waits: dict[int, _Wait] = {}

    def begin(self, plan: drain.StopPlan) -> None:
        """Starts to apply a plan, also to the requests that wait already."""
        self._plan = plan
        for exchange, timeout in self._waits.values():
            self._limit(exchange, timeout, plan)

    def record_answered(
        self, exchange: _exchange.Exchange, first_ms: int
    ) -> None:
        """Records a request whose response is complete.

        Args:
            exchange: The request.
            first_ms: When its first event arrived, or its whole response.
        """
        now_ms = self._clock.now_ms()
        for durations, name in (
            (self._by_route, exchange.route.name),
            (self._by_service, exchange.service),
        ):
            durations.record(
                name,
                exchange.request_head.max_output_tokens,
                first_ms - exchange.arrived_ms,
                now_ms - exchange.arrived_ms,
                now_ms,
            )

    def is_open(self, exchange: _exchange.Exchange) -> bool:
        """Returns whether a request may be sent now."""
        if self._plan is None:
            return True
        latest_ms = self._latest_start_ms(exchange, self._plan)
        return self._clock.now_ms() < latest_ms

    def check(
        self,
        exchange: _exchange.Exchange,
        last_error: _attempt.AttemptFailedError | None,
    ) -> None:
        """Checks that a request may be sent now.

        Raises:
            ForwardingError: It might not end before the cut.
        """
        if not self.is_open(exchange):
            raise self.refuse(exchange, last_error)

    def refuse(
        self,
        exchange: _exchange.Exchange,
        last_error: _attempt.AttemptFailedError | None,
    ) -> _refusals.ForwardingError:
        """Returns the end of a request that does not fit before the cut."""
        others = self._view.entries_that_reach(
            exchange.service, self._clock.now_ms()
        )
        has_others = next(iter(others), None) is not None
        return _refusals.ForwardingError(
            _refusals.stopping_refusal(
                exchange,
                last_error,
                RETRY_AFTER_MS if has_others else ALONE_RETRY_AFTER_MS,
            )
        )

    @contextlib.asynccontextmanager
    async def limit_wait(
        self,
        exchange: _exchange.Exchange,
        last_error: _attempt.AttemptFailedError | None,
    ) -> AsyncIterator[None]:
        """Limits a wait of a request that has not been sent yet.

        Raises:
            ForwardingError: The request may not be sent any more; the wait is
                cancelled.
        """
        self.check(exchange, last_error)
        try:
            async with asyncio.timeout(None) as timeout:
                with self._register_wait(exchange, timeout):
                    yield
        except TimeoutError as error:
            raise self.refuse(exchange, last_error) from error

    @contextlib.contextmanager
    def _register_wait(
        self, exchange: _exchange.Exchange, timeout: asyncio.Timeout
    ) -> Iterator[None]:
        self._waits[exchange.number] = (exchange, timeout)
        try:
            if self._plan is not None:
                self._limit(exchange, timeout, self._plan)
            yield
        finally:
            del self._waits[exchange.number]

    def _limit(
        self,
        exchange: _exchange.Exchange,
        timeout: asyncio.Timeout,
        plan: drain.StopPlan,
    ) -> None:
        if timeout.expired():
            return
        wait_ms = self._latest_start_ms(exchange, plan) - self._clock.now_ms()
        now_s = asyncio.get_running_loop().time()
        timeout.reschedule(now_s + max(wait_ms, 0) / clocks.MS_PER_S)

    def _latest_start_ms(
        self, exchange: _exchange.Exchange, plan: drain.StopPlan
    ) -> int:
        longest_ms = self._longest_ms(exchange)
        if longest_ms is not None:
            # A stream that is resumed has only its rest left.
            longest_ms -= exchange.streamed_ms
        latest_ms = plan.latest_start_ms(exchange.deadline_ms, longest_ms)
        if _was_accepted(exchange, plan):
            # A refusal would cut it for certain.
            latest_ms = max(latest_ms, plan.latest_resume_ms)
        return latest_ms

    def _longest_ms(self, exchange: _exchange.Exchange) -> int | None:
        """Returns how long a request takes at most; None if nothing tells."""
        tokens = exchange.request_head.max_output_tokens
        is_stream = exchange.route.kind is model.RequestKind.STREAM
        if is_stream and not tokens:
            # The streams before it need not have been as long.
            return None
        now_ms = self._clock.now_ms()
        longest_ms = self._by_route.longest_ms(
            exchange.route.name, tokens, now_ms
        )
        if longest_ms is not None:
            return longest_ms
        return self._by_service.longest_ms(exchange.service, tokens, now_ms)


def _was_accepted(exchange: _exchange.Exchange, plan: drain.StopPlan) -> bool:
    """Returns whether a stream has begun that the stop lets run until its cut.

    One that came later was accepted only as it seemed to end before the cut.
    """
    has_begun = exchange.first_event_ms is not None
    return has_begun and exchange.arrived_ms <= plan.serves_all_until_ms
