"""Turns of requests at the places of groups."""

import asyncio
import collections
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank.core import dispatch
from lagooncrank.server.seeded import _entry_metrics
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _targets

ORDER: Final = "fresh-first"
#: Places also come free at other entries, of which this one hears later.
RECHECK_S: Final = 0.05
#: Part of the time left that a request may wait; its caller keeps the rest to
#: come back in.
MAX_WAIT_PART: Final = 0.5


class NoTurnError(Exception):
    """A request waited for its turn as long as it may."""


class Turns:
    """Lets requests wait while the groups of their model are full."""

    def __init__(
        self,
        targets: _targets.Targets,
        view: _fleet_view.FleetView,
        metrics: _entry_metrics.EntryMetrics,
        clock: clocks.Clock,
    ) -> None:
        self._targets = targets
        self._view = view
        self._metrics = metrics
        self._clock = clock
        self._line = dispatch.RequestQueue(
            dispatch.QUEUE_DISCIPLINES.get(ORDER)
        )
        self._woken: dict[int, asyncio.Future[None]] = {}
        #: Turns given to requests that were not sent yet.
        self._given: collections.Counter[dispatch.Pool] = collections.Counter()
        #: Requests that run, by client account.
        self._running: collections.Counter[str] = collections.Counter()
        self._recheck: asyncio.TimerHandle | None = None

    async def wait(self, exchange: _exchange.Exchange) -> None:
        """Waits until a request may be sent.

        Raises:
            NoTurnError: Its turn did not come in time.
        """
        model_name = exchange.call.model_name
        has_accurate_loads = dispatch.has_accurate_loads(self._view.entry_count)
        if not model_name or not has_accurate_loads:
            return
        pool = (exchange.service, model_name)
        is_waited_for = self._line.length(pool) or self._given[pool]
        if not is_waited_for and self._room(pool).slots > 0:
            return
        try:
            await self._wait_in_line(exchange, pool)
        finally:
            if not self._given[pool]:
                del self._given[pool]

    def begin(self, exchange: _exchange.Exchange) -> None:
        """Counts a request that is sent."""
        self._running[_account_of(exchange)] += 1

    def end(self, exchange: _exchange.Exchange) -> None:
        """Counts a request that has ended, and gives its place away."""
        account = _account_of(exchange)
        self._running[account] -= 1
        if self._running[account] <= 0:
            del self._running[account]
        self._give()

    async def _wait_in_line(
        self, exchange: _exchange.Exchange, pool: dispatch.Pool
    ) -> None:
        waiting = dispatch.QueuedRequest(
            exchange.number,
            pool,
            _account_of(exchange),
            exchange.priority,
            exchange.arrived_ms,
            exchange.route.target_latency_ms,
        )
        began_ms = self._clock.now_ms()
        limit_ms = max(exchange.left_ms(self._clock), 0) * MAX_WAIT_PART
        woken = asyncio.get_running_loop().create_future()
        self._woken[exchange.number] = woken
        self._line.add(waiting)
        self._give()
        self._recheck_soon()
        try:
            async with asyncio.timeout(limit_ms / clocks.MS_PER_S):
                await woken
        except TimeoutError as error:
            raise NoTurnError from error
        finally:
            self._line.remove(waiting)
            del self._woken[exchange.number]
            if woken.done() and not woken.cancelled():
                self._given[pool] -= 1
            exchange.queued_ms = self._clock.now_ms() - began_ms
            self._metrics.queued(exchange.service, exchange.queued_ms)

    def _give(self) -> None:
        """Gives free places to those whose turn it is."""
        now_ms = self._clock.now_ms()
        for pool in self._line.pools():
            room = self._room(pool)
            for slots in range(room.slots, 0, -1):
                waiting = self._line.pop_next(
                    pool,
                    self._running,
                    now_ms,
                    on_time_only=slots <= room.reserved,
                )
                if waiting is None:
                    break
                woken = self._woken[waiting.number]
                if not woken.done():
                    # Otherwise its caller has left just now.
                    self._given[pool] += 1
                    woken.set_result(None)

    def _room(self, pool: dispatch.Pool) -> dispatch.SlotBudget:
        """Returns what may be sent of a pool beside the turns given."""
        room = self._targets.room(*pool)
        if room is None:
            # Nothing serves the model: who waits for it is told at once.
            return dispatch.SlotBudget(self._line.length(pool) + 1, 0)
        return dispatch.SlotBudget(
            room.slots - self._given[pool], room.reserved
        )

    def _recheck_soon(self) -> None:
        if self._recheck is None:
            loop = asyncio.get_running_loop()
            self._recheck = loop.call_later(RECHECK_S, self._on_recheck)

    def _on_recheck(self) -> None:
        self._recheck = None
        self._give()
        if self._line.pools():
            self._recheck_soon()


def _account_of(exchange: _exchange.Exchange) -> str:
    return "" if exchange.account is None else exchange.account.account
