"""Scheduling of the requests for one service at one entry."""

from collections.abc import Iterator
import heapq

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.admission import _account
from lagooncrank.core.admission import _limits
from lagooncrank.core.admission import _refusals
from lagooncrank.core.admission import _remote_usage
from lagooncrank.core.admission import _types

#: Priorities at the engine; a lower number runs first. Owned requests are
#: within the account's share, lent ones use weight lent by other accounts, and
#: slack ones use weight that active accounts leave below their limits.
PRIORITY_OWNED = 0
PRIORITY_LENT = 1
PRIORITY_SLACK = 2
#: Fraction of the capacity by which starts of owned requests may exceed it.
OVERCOMMIT_FRACTION = 0.02
#: An owned request that has waited this long for a slot starts without one.
MAX_OWNED_WAIT_MS = 150
#: A request on lent capacity is suspended for an owned one if no slot is
#: expected to become free within this time.
SUSPEND_THRESHOLD_MS = 100
#: With more queued accounts than this, a freed slot is offered only to the
#: account that freed it; the other accounts are checked at the next tick.
MAX_SCANNED_ACCOUNTS = 32
#: Largest fraction of the time to the first-token deadline that is reserved for
#: the engine to produce the first token.
MAX_FIRST_TOKEN_FRACTION = 0.5
#: Excess weight that is expected to end within this time is not suspended.
ATTRITION_MS = 400
#: Maximum number of suspensions of one request.
MAX_SUSPENSIONS = 2
#: A request that stays suspended for longer is refused.
MAX_SUSPENDED_MS = 20_000


class ServiceScheduler:
    """Queues, limits and running requests of one service at this entry."""

    def __init__(self, limits: _limits.ServiceLimits) -> None:
        self.limits = limits
        self.accounts: dict[model.ClientAccountId, _account.Account] = {}
        self.entry_counts = _limits.EntryCounts(entries=1, reporting=0)
        self._queued_accounts: dict[
            model.ClientAccountId, _account.Account
        ] = {}
        self._deadlines: list[tuple[int, int, _account.ScheduledRequest]] = []
        self._push_count = 0
        self._running_count = 0
        self._running_weight = 0.0
        self._total_limit = 0.0
        self._remote_running = 0

    def offer(
        self, account: _account.Account, offer: _types.Offer, now_ms: int
    ) -> Iterator[_types.Effect]:
        """Starts, queues or refuses a request."""
        if account.is_idle:
            self.limits.limit_idle_account(account, self.entry_counts.sharing)
        refusal = self._find_refusal(account, offer, now_ms)
        if refusal is not None:
            account.unmet_weight += account.new_request(offer, now_ms).weight
            yield _types.Refuse(offer.request_id, refusal)
            return
        request = account.new_request(offer, now_ms)
        self._enqueue(
            account, request, _latest_start_ms(account, offer, now_ms)
        )
        yield from self._start_account_requests(account, now_ms)

    def ended(
        self,
        account: _account.Account,
        request_id: model.RequestId,
        now_ms: int,
    ) -> Iterator[_types.Effect]:
        """Removes a request and starts queued ones in its place."""
        request = account.remove_running(request_id)
        if request is None:
            account.remove_queued(request_id)
            self._update_queued_accounts(account)
            return
        self._subtract_running(request)
        account.record_end(request, now_ms)
        if len(self._queued_accounts) <= MAX_SCANNED_ACCOUNTS:
            yield from self.start_queued(now_ms)
        else:
            yield from self._start_account_requests(account, now_ms)

    def tick(self, now_ms: int) -> Iterator[_types.Effect]:
        """Refuses requests that are too late and starts queued ones."""
        yield from self._refuse_expired(now_ms)
        yield from self.start_queued(now_ms)

    def update_limits(
        self,
        remote_usage: _remote_usage.RemoteUsageTable,
        entries: int,
        now_ms: int,
    ) -> Iterator[_types.Effect]:
        """Updates the limits and reclaims lent capacity that exceeds them."""
        self.entry_counts = _limits.EntryCounts(
            entries, remote_usage.reporting_entries
        )
        usages = self._remote_usages(remote_usage)
        self.limits.update(self.accounts, usages, self.entry_counts)
        self._remote_running = sum(usage.running for usage in usages.values())
        active = [a for a in self.accounts.values() if not a.is_idle]
        self._total_limit = sum(account.limit for account in active)
        for account in active:
            yield from self._reclaim(account, now_ms)
        yield from self.start_queued(now_ms)

    def start_queued(self, now_ms: int) -> Iterator[_types.Effect]:
        """Starts queued requests, beginning with the least used shares."""
        while self._queued_accounts:
            by_share_use = sorted(
                self._queued_accounts.values(),
                key=lambda a: a.running_weight / a.share,
            )
            effects = [
                effect
                for account in by_share_use
                for effect in self._start_account_requests(account, now_ms)
            ]
            if not effects:
                return
            yield from effects

    def expected_wait_ms(self, account: _account.Account) -> float:
        """Returns how long a new request of an account is expected to wait."""
        if not account.queued_count:
            return 0.0
        limit = max(account.limit, account.owned_limit, 1.0)
        residence_ms = account.residence_ms(self.limits.ms_per_token)
        return account.waiting_weight * residence_ms / limit

    def _remote_usages(
        self, remote_usage: _remote_usage.RemoteUsageTable
    ) -> _remote_usage.UsageByAccount:
        name = self.limits.capacity.service
        fresh, stale = remote_usage.fresh(name), remote_usage.stale(name)
        factor = self.limits.stale_factor(self._running_count, fresh, stale)
        return _remote_usage.combine_usage(fresh, stale, factor)

    def _find_refusal(
        self, account: _account.Account, offer: _types.Offer, now_ms: int
    ) -> results.Refusal | None:
        """Returns why an offer must be refused at once, or None."""
        wait_ms = self.expected_wait_ms(account)
        if account.queued_count >= account.max_queued_requests:
            return _refusals.queue_full(offer, wait_ms)
        if not self.limits.capacity.concurrency:
            # The wait cannot be estimated without capacity. The first replica
            # may just have formed, or the last one may recover in time.
            return None
        late_ms = now_ms + wait_ms - _latest_start_ms(account, offer, now_ms)
        if account.queued_count and late_ms > 0:
            return _refusals.cannot_start_in_time(offer, late_ms)
        return None

    def _refuse_expired(self, now_ms: int) -> Iterator[_types.Effect]:
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, _, request = heapq.heappop(self._deadlines)
            account = self.accounts[request.offer.account]
            request_id = request.offer.request_id
            if request_id in account.waiting:
                refusal = _refusals.queue_timeout(
                    request.offer, self.expected_wait_ms(account)
                )
            elif request_id in account.resumable:
                refusal = _refusals.preempted(
                    request.offer, self.expected_wait_ms(account)
                )
            else:
                continue
            account.remove_queued(request_id)
            self._update_queued_accounts(account)
            yield _types.Refuse(request_id, refusal)

    def _start_account_requests(
        self, account: _account.Account, now_ms: int
    ) -> Iterator[_types.Effect]:
        """Starts queued requests of one account as far as its limits allow."""
        while account.queued_count and self.limits.capacity.concurrency:
            request = account.next_request()
            weight_after_start = account.running_weight + request.weight
            if weight_after_start <= account.owned_limit or not account.running:
                if not self._has_free_slot() and not self._has_waited_too_long(
                    request, now_ms
                ):
                    preempted = self._choose_preemption(account)
                    if preempted is None:
                        return
                    yield self._suspend(preempted, now_ms)
                priority = PRIORITY_OWNED
            elif weight_after_start <= account.limit:
                priority = PRIORITY_LENT
            elif self._running_weight + request.weight <= self._total_limit:
                priority = PRIORITY_SLACK
            else:
                return
            yield self._start(account, request, priority, now_ms)

    def _has_free_slot(self) -> bool:
        """Returns whether a slot is free, with a margin for overcommitment."""
        capacity = self.limits.capacity
        slots = capacity.concurrency * (1 + OVERCOMMIT_FRACTION)
        slots += capacity.straggler_concurrency
        return self._running_count + self._remote_running < slots

    def _has_waited_too_long(
        self, request: _account.ScheduledRequest, now_ms: int
    ) -> bool:
        return now_ms - request.queued_ms >= MAX_OWNED_WAIT_MS

    def _choose_preemption(
        self, account: _account.Account
    ) -> _account.ScheduledRequest | None:
        """Returns a lent request to suspend, or None if a slot is free soon."""
        residence_ms = account.residence_ms(self.limits.ms_per_token)
        if residence_ms / max(1, self._running_count) < SUSPEND_THRESHOLD_MS:
            return None
        by_share_use = sorted(
            self.accounts.values(),
            key=lambda a: a.running_weight / a.share,
            reverse=True,
        )
        preemptible = (
            request
            for candidate in by_share_use
            for request in candidate.preemptible_requests(MAX_SUSPENSIONS)
        )
        return next(preemptible, None)

    def _reclaim(
        self, account: _account.Account, now_ms: int
    ) -> Iterator[_types.Effect]:
        """Suspends lent requests whose excess weight would last too long.

        Excess counts as lasting only if it was there at the previous update.
        """
        residence_ms = account.residence_ms(self.limits.ms_per_token)
        ending_weight = (
            account.running_weight * ATTRITION_MS / max(1.0, residence_ms)
        )
        excess = account.running_weight - account.limit - ending_weight
        lasting_excess = min(excess, account.excess)
        account.excess = excess
        for request in tuple(account.preemptible_requests(MAX_SUSPENSIONS)):
            if lasting_excess < request.weight:
                return
            lasting_excess -= request.weight
            yield self._suspend(request, now_ms)

    def _enqueue(
        self,
        account: _account.Account,
        request: _account.ScheduledRequest,
        deadline_ms: int,
    ) -> None:
        account.enqueue(request)
        self._update_queued_accounts(account)
        self._push_count += 1
        heapq.heappush(
            self._deadlines, (deadline_ms, self._push_count, request)
        )

    def _update_queued_accounts(self, account: _account.Account) -> None:
        if account.queued_count:
            self._queued_accounts[account.name] = account
        else:
            self._queued_accounts.pop(account.name, None)

    def _subtract_running(self, request: _account.ScheduledRequest) -> None:
        self._running_count -= 1
        self._running_weight -= request.weight

    def _start(
        self,
        account: _account.Account,
        request: _account.ScheduledRequest,
        priority: int,
        now_ms: int,
    ) -> _types.Start:
        account.start(request, priority, now_ms)
        self._update_queued_accounts(account)
        self._running_count += 1
        self._running_weight += request.weight
        return _types.Start(request.offer.request_id, priority)

    def _suspend(
        self, request: _account.ScheduledRequest, now_ms: int
    ) -> _types.Suspend:
        account = self.accounts[request.offer.account]
        account.remove_running(request.offer.request_id)
        self._subtract_running(request)
        request.suspensions += 1
        self._enqueue(account, request, now_ms + MAX_SUSPENDED_MS)
        return _types.Suspend(request.offer.request_id)


def _latest_start_ms(
    account: _account.Account, offer: _types.Offer, now_ms: int
) -> int:
    """Returns the latest start at which the first token is expected in time.

    Part of the time is left for the queue even if first tokens were slow
    recently. Otherwise a short slowdown would cause all requests to be refused.
    """
    remaining_ms = offer.first_token_deadline_ms - now_ms
    first_token_ms = min(
        account.first_token_ms, MAX_FIRST_TOKEN_FRACTION * remaining_ms
    )
    return offer.first_token_deadline_ms - round(first_token_ms)
