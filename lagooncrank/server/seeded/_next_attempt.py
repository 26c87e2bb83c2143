"""Whether another attempt of a request is possible before one is given up."""

from collections.abc import Sequence

from lagooncrank import decisions
from lagooncrank.core import dispatch
from lagooncrank.server.seeded import _attempt_parts
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _retry_rules


class NextAttempts:
    """Reserves next attempts, so that no run is given up for nothing.

    A server that is silent may go on, and an error that it reports is at least
    an answer: both are better than the end of a request that cannot run again.
    """

    def __init__(self, parts: _attempt_parts.AttemptParts) -> None:
        self._target_selector = parts.target_selector
        self._view = parts.view
        self._retry_budget = parts.retry_budget
        self._crash_guard = parts.crash_guard
        self._delegator = parts.delegator
        self._live_servers = parts.reach_monitor.live_servers
        self._stop_gate = parts.stop_gate
        self._clock = parts.clock
        self._log = parts.log
        self._late_arrivals = dispatch.LateArrivals()
        parts.reach_monitor.sign_listeners.append(self._charge_late_arrivals)

    def try_reserve(
        self, exchange: _exchange.Exchange, *, is_silent: bool
    ) -> bool:
        """Reserves the next attempt of a request whose current one may run.

        Reserved are a retry of the budget and, unless another entry serves the
        request, a slot: what is checked in the same moment sees it as taken.

        Args:
            exchange: The request.
            is_silent: Whether the server of the current attempt is silent; the
                next one must not be silent as well.

        Returns:
            Whether the request may be attempted again at once.
        """
        self.release_slot(exchange)
        if not self._is_possible(exchange):
            return False
        server_id = ""
        if self._delegator.choose(exchange) is None:
            target = self._find_free_server(exchange, is_silent=is_silent)
            if target is None:
                return False
            server_id = target.server_id
        if not exchange.has_reserved_retry:
            exchange.has_reserved_retry = self._spend_retry(exchange)
        if exchange.has_reserved_retry and server_id:
            self._view.loads.begin(server_id)
            exchange.reserved_server = server_id
        return exchange.has_reserved_retry

    def release_slot(self, exchange: _exchange.Exchange) -> None:
        """Releases the reserved slot; the attempt counts by itself then."""
        if exchange.reserved_server:
            self._view.loads.end(exchange.reserved_server)
            exchange.reserved_server = ""

    def acquire(self, exchange: _exchange.Exchange) -> bool:
        """Takes a retry from the budget, unless one is reserved.

        Returns:
            Whether the budget allows the retry.
        """
        if exchange.has_reserved_retry:
            exchange.has_reserved_retry = False
            return True
        return self._spend_retry(exchange)

    def record_abandoned(
        self, exchange: _exchange.Exchange, target: dispatch.Target
    ) -> None:
        """Records an attempt without a response that another one replaced.

        A silent server may not have read it yet.
        """
        if not target.is_entry and not self._live_servers.is_live(target):
            self._late_arrivals.add(
                target.server_id, exchange.service, self._clock.now_ms()
            )

    def _charge_late_arrivals(self, server_id: str) -> None:
        """Charges what a server reads that has just gone on."""
        if server_id not in self._late_arrivals:
            return
        now_ms = self._clock.now_ms()
        arrivals = self._late_arrivals.take(server_id, now_ms)
        for service, count in arrivals.items():
            self._retry_budget.charge_late(
                service, count, self._view.sharing_entries.count(now_ms), now_ms
            )
            self._log.write(
                decisions.Event.READ_LATE,
                server=server_id,
                service=service,
                attempts=count,
            )

    def _spend_retry(self, exchange: _exchange.Exchange) -> bool:
        now_ms = self._clock.now_ms()
        return self._retry_budget.try_acquire(
            exchange.service, self._view.sharing_entries.count(now_ms), now_ms
        )

    def _is_possible(self, exchange: _exchange.Exchange) -> bool:
        route = exchange.route
        if (
            not route.is_retry_safe
            or not exchange.is_resumable
            or exchange.possible_runs + 1 >= route.max_attempts
        ):
            return False
        remaining_ms = exchange.remaining_ms(self._clock)
        return (
            remaining_ms >= _retry_rules.MIN_REMAINING_MS
            and self._stop_gate.is_open(exchange)
            and not self._crash_guard.is_accused(exchange)
        )

    def _find_free_server(
        self, exchange: _exchange.Exchange, *, is_silent: bool
    ) -> dispatch.Target | None:
        if self._delegator.must_refuse(exchange):
            return None
        free: Sequence[dispatch.Target] = self._target_selector.free_targets(
            exchange.service, exchange.request_head.model_name, exchange.tried
        )
        if is_silent:
            free = self._live_servers.find(free)
        return self._target_selector.least_loaded(free)
