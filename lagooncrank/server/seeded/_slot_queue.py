"""Queue of requests that wait for a slot of a group."""

import asyncio
import collections
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank.core import dispatch
from lagooncrank.server.seeded import _entry_metrics
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _target_selector

QUEUE_DISCIPLINE: Final = "fresh-first"
#: The same for pools all of whose servers limit their requests.
LIMITED_DISCIPLINE: Final = "fewest-recent"
#: Interval at which queued requests are checked again: slots that other entries
#: release are reported to this one later.
RECHECK_INTERVAL_S: Final = 0.05


class QueueTimeoutError(Exception):
    """No slot becomes available within the maximum wait of a request."""


class SlotQueue:
    """Queues requests while all groups of their model are full."""

    def __init__(
        self,
        target_selector: _target_selector.TargetSelector,
        view: _fleet_view.FleetView,
        metrics: _entry_metrics.EntryMetrics,
        clock: clocks.Clock,
    ) -> None:
        self._target_selector = target_selector
        self._view = view
        self._metrics = metrics
        self._clock = clock
        self._queue = dispatch.RequestQueue(
            dispatch.QUEUE_DISCIPLINES.get(QUEUE_DISCIPLINE)
        )
        self._grant_futures: dict[int, asyncio.Future[None]] = {}
        #: Slots granted to requests that have not been sent yet.
        self._granted: collections.Counter[dispatch.Pool] = (
            collections.Counter()
        )
        self._limited_order = dispatch.QUEUE_DISCIPLINES.get(LIMITED_DISCIPLINE)
        #: Requests to limited pools.
        self._recent_use = dispatch.RecentUse()
        #: Running requests by client account.
        self._running: collections.Counter[str] = collections.Counter()
        self._recheck: asyncio.TimerHandle | None = None

    async def wait(self, exchange: _exchange.Exchange) -> None:
        """Waits until a request may be sent.

        Raises:
            QueueTimeoutError: No slot became available in time.
        """
        pool = (exchange.service, exchange.request_head.model_name)
        is_limited = self._target_selector.is_limited(*pool, exchange.tried)
        if not is_limited and not self._target_selector.has_slots(*pool):
            return
        is_contended = self._queue.length(pool) or self._granted[pool]
        if not is_contended and self._available_slots(pool).slots > 0:
            if is_limited:
                account = _account_name(exchange)
                self._recent_use.record(account, self._clock.now_ms())
            return
        if is_limited:
            self._check_permit_wait(exchange, pool)
        try:
            await self._wait_in_queue(exchange, pool)
        finally:
            if not self._granted[pool]:
                del self._granted[pool]

    def begin(self, exchange: _exchange.Exchange) -> None:
        """Records that a request was sent."""
        self._running[_account_name(exchange)] += 1

    def end(self, exchange: _exchange.Exchange) -> None:
        """Records that a request ended, and grants its slot to the next one."""
        account = _account_name(exchange)
        self._running[account] -= 1
        if self._running[account] <= 0:
            del self._running[account]
        self.grant_slots()

    def _check_permit_wait(
        self, exchange: _exchange.Exchange, pool: dispatch.Pool
    ) -> None:
        """Checks that a permit for a request may come while it waits.

        Raises:
            QueueTimeoutError: It comes later.
        """
        limit_ms = dispatch.queue_limit_ms(
            exchange.route, exchange.remaining_ms(self._clock)
        )
        wait_ms = self._target_selector.permit_wait_ms(*pool, exchange.tried)
        if wait_ms > limit_ms:
            raise QueueTimeoutError

    async def _wait_in_queue(
        self, exchange: _exchange.Exchange, pool: dispatch.Pool
    ) -> None:
        queued = dispatch.QueuedRequest(
            exchange.number,
            pool,
            _account_name(exchange),
            exchange.priority,
            exchange.arrived_ms,
            exchange.route.target_latency_ms,
        )
        began_ms = self._clock.now_ms()
        limit_ms = dispatch.queue_limit_ms(
            exchange.route, exchange.remaining_ms(self._clock)
        )
        grant_future = asyncio.get_running_loop().create_future()
        self._grant_futures[exchange.number] = grant_future
        self._queue.add(queued)
        self.grant_slots()
        self._schedule_recheck()
        try:
            async with asyncio.timeout(limit_ms / clocks.MS_PER_S):
                await grant_future
        except TimeoutError as error:
            raise QueueTimeoutError from error
        finally:
            self._queue.remove(queued)
            del self._grant_futures[exchange.number]
            if grant_future.done() and not grant_future.cancelled():
                self._granted[pool] -= 1
            queued_ms = self._clock.now_ms() - began_ms
            exchange.queued_ms += queued_ms
            self._metrics.observe_queue_time(exchange.service, queued_ms)

    def grant_slots(self) -> None:
        """Grants available slots to the next requests in the queue.

        Requests that still wait may need permits of limited servers.
        """
        now_ms = self._clock.now_ms()
        for pool in self._queue.pools():
            slot_budget = self._available_slots(pool)
            for slots in range(slot_budget.slots, 0, -1):
                queued = self._pop_next(
                    pool, now_ms, on_time_only=slots <= slot_budget.reserved
                )
                if queued is None:
                    break
                grant_future = self._grant_futures[queued.number]
                if not grant_future.done():
                    # A cancelled future means that the caller has just left.
                    self._granted[pool] += 1
                    grant_future.set_result(None)
            if waiting := self._queue.length(pool):
                self._target_selector.request_permits(*pool, waiting)

    def _pop_next(
        self, pool: dispatch.Pool, now_ms: int, *, on_time_only: bool
    ) -> dispatch.QueuedRequest | None:
        """Removes and returns the next request of a pool, if any."""
        if not self._target_selector.is_limited(*pool, ()):
            return self._queue.pop_next(
                pool, self._running, now_ms, on_time_only=on_time_only
            )
        queued = self._queue.pop_next(
            pool,
            self._recent_use.counts(now_ms),
            now_ms,
            discipline=self._limited_order,
        )
        if queued is not None:
            self._recent_use.record(queued.account, now_ms)
        return queued

    def _available_slots(self, pool: dispatch.Pool) -> dispatch.SlotBudget:
        """Returns the slots that may still be granted to a pool's requests."""
        slot_budget = self._target_selector.slot_budget(*pool)
        if slot_budget is None:
            # No group serves the model. Slots for all of its requests end
            # their waits, so that they are refused at once.
            return dispatch.SlotBudget(self._queue.length(pool) + 1, 0)
        return dispatch.SlotBudget(
            slot_budget.slots - self._granted[pool], slot_budget.reserved
        )

    def _schedule_recheck(self) -> None:
        if self._recheck is None:
            loop = asyncio.get_running_loop()
            self._recheck = loop.call_later(
                RECHECK_INTERVAL_S, self._on_recheck
            )

    def _on_recheck(self) -> None:
        self._recheck = None
        try:
            self.grant_slots()
        finally:
            # An error in one round must not end the later ones.
            if self._queue.pools():
                self._schedule_recheck()


def _account_name(exchange: _exchange.Exchange) -> str:
    return "" if exchange.account is None else exchange.account.account
