"""Refuses requests that might not end before the cut of a planned stop."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank.core import drain
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _refusals

#: Delay before callers should retry while other entries are open.
RETRY_AFTER_MS: Final = 20
#: The same while there are none; the first one may be back by then.
ALONE_RETRY_AFTER_MS: Final = 1_000

#: Returns when a wait ends by the plan of a stop.
_WaitEnd = Callable[[drain.StopPlan], int]


class StopGate:
    """Applies the plan of a stop to requests."""

    def __init__(
        self, view: _fleet_view.FleetView, clock: clocks.Clock
    ) -> None:
        self._view = view
        self._clock = clock
        #: Plan of the stop; None while this entry does not stop.
        self._plan: drain.StopPlan | None = None
        #: Waits of requests that a stop limits.
        self._waits: dict[asyncio.Timeout, _WaitEnd] = {}

    def begin(self, plan: drain.StopPlan) -> None:
        """Starts to apply a plan, also to the requests that wait already."""
        self._plan = plan
        for timeout, end in self._waits.items():
            self._limit(timeout, end(plan))

    def is_open(self, exchange: _exchange.Exchange) -> bool:
        """Returns whether a request may be sent now."""
        if self._plan is None:
            return True
        return self._clock.now_ms() < _latest_start_ms(exchange, self._plan)

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
                with self._register_wait(
                    timeout, lambda plan: _latest_start_ms(exchange, plan)
                ):
                    yield
        except TimeoutError as error:
            raise self.refuse(exchange, last_error) from error

    @contextlib.asynccontextmanager
    async def limit_response(
        self, exchange: _exchange.Exchange
    ) -> AsyncIterator[None]:
        """Ends the wait for a response in time to tell the caller.

        Raises:
            ForwardingError: The stop waits no longer; the request may have run.
        """
        try:
            async with asyncio.timeout(None) as timeout:
                with self._register_wait(
                    timeout, lambda plan: plan.answers_until_ms
                ):
                    yield
        except TimeoutError as error:
            if exchange.was_sent and not exchange.possible_runs:
                exchange.record_lost_run()
            raise self.refuse(exchange, None) from error

    @contextlib.contextmanager
    def _register_wait(
        self, timeout: asyncio.Timeout, end: _WaitEnd
    ) -> Iterator[None]:
        self._waits[timeout] = end
        try:
            if self._plan is not None:
                self._limit(timeout, end(self._plan))
            yield
        finally:
            del self._waits[timeout]

    def _limit(self, timeout: asyncio.Timeout, end_ms: int) -> None:
        if timeout.expired():
            return
        wait_ms = max(end_ms - self._clock.now_ms(), 0)
        now_s = asyncio.get_running_loop().time()
        timeout.reschedule(now_s + wait_ms / clocks.MS_PER_S)


def _latest_start_ms(exchange: _exchange.Exchange, plan: drain.StopPlan) -> int:
    """Returns until when a request may be sent to a backend server."""
    latest_ms = plan.latest_start_ms(exchange.deadline_ms)
    if _was_accepted(exchange, plan):
        # A refusal would cut it for certain.
        latest_ms = max(latest_ms, plan.latest_resume_ms)
    return latest_ms


def _was_accepted(exchange: _exchange.Exchange, plan: drain.StopPlan) -> bool:
    """Returns whether a stream has begun that the stop lets run until its cut.

    One that came later was accepted only as it seemed to end before the cut.
    """
    has_begun = exchange.first_event_ms is not None
    return has_begun and exchange.arrived_ms <= plan.serves_all_until_ms
