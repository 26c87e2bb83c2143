"""Decisions of one entry on the requests of one service."""

from collections.abc import Iterator
import heapq

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.admission import _account
from lagooncrank.core.admission import _limits
from lagooncrank.core.admission import _refusals
from lagooncrank.core.admission import _remote_usage
from lagooncrank.core.admission import _types

#: Engine priorities; lower runs first.
PRIORITY_OWNED = 0
PRIORITY_LENT = 1
PRIORITY_SLACK = 2
#: Part over the capacity up to which owned work starts without waiting.
OVERCOMMIT = 0.02
#: An owned request waits this long for a slot before it starts regardless.
OWNED_WAIT_MS = 150
#: Lent work is suspended for owned work if no slot is expected within this.
SUSPEND_BEYOND_MS = 100
#: With more queued accounts, a free slot goes to the account that left it, and
#: the others are looked at once a tick.
MAX_SCANNED_AT_ONCE = 32
#: Largest part of the time to the deadline kept for the engine's answer.
MAX_START_FRACTION = 0.5
#: Excess that ends by itself within this time is not suspended.
ATTRITION_MS = 400
#: Times that one request may be suspended.
MAX_SUSPENSIONS = 2
#: A suspended request that waits longer is refused.
MAX_SUSPENDED_MS = 20_000


class Service:
    """Queues, limits and running work of one service."""

    def __init__(self, limits: _limits.Limits) -> None:
        self.limits = limits
        self.accounts: dict[model.ClientAccountId, _account.Account] = {}
        self.peers = _limits.Peers(entries=1, known=0)
        self._queued: dict[model.ClientAccountId, _account.Account] = {}
        self._deadlines: list[tuple[int, int, _account.Work]] = []
        self._pushed = 0
        self._running = 0
        self._running_weight = 0.0
        self._limit_sum = 0.0
        self._other_running = 0

    def offer(
        self, account: _account.Account, offer: _types.Offer, now_ms: int
    ) -> Iterator[_types.Effect]:
        """Starts, queues or refuses a request."""
        if account.idle:
            self.limits.limit_idle(account, self.peers.sharing)
        refusal = self._refusal(account, offer, now_ms)
        if refusal is not None:
            account.unmet_weight += account.new_work(offer, now_ms).weight
            yield _types.Refuse(offer.request_id, refusal)
            return
        work = account.new_work(offer, now_ms)
        self._enqueue(account, work, _last_start_ms(account, offer, now_ms))
        yield from self._start_account(account, now_ms)

    def ended(
        self,
        account: _account.Account,
        request_id: model.RequestId,
        now_ms: int,
    ) -> Iterator[_types.Effect]:
        """Forgets a request and gives its slot away."""
        work = account.stop(request_id)
        if work is None:
            account.leave_queue(request_id)
            self._note_queue(account)
            return
        self._note_stopped(work)
        account.learn_end(work, now_ms)
        if len(self._queued) <= MAX_SCANNED_AT_ONCE:
            yield from self.start_waiting(now_ms)
        else:
            yield from self._start_account(account, now_ms)

    def tick(self, now_ms: int) -> Iterator[_types.Effect]:
        """Refuses what can no longer start in time and starts what may."""
        yield from self._refuse_late(now_ms)
        yield from self.start_waiting(now_ms)

    def set_limits(
        self, remote: _remote_usage.RemoteUsage, entries: int, now_ms: int
    ) -> Iterator[_types.Effect]:
        """Sets the limits anew and takes lent capacity back."""
        self.peers = _limits.Peers(entries, remote.known)
        uses = self._other_uses(remote)
        self.limits.update(self.accounts, uses, self.peers)
        self._other_running = sum(use.running for use in uses.values())
        active = [a for a in self.accounts.values() if not a.idle]
        self._limit_sum = sum(account.limit for account in active)
        for account in active:
            yield from self._take_back(account, now_ms)
        yield from self.start_waiting(now_ms)

    def start_waiting(self, now_ms: int) -> Iterator[_types.Effect]:
        """Starts queued work, accounts furthest below their share first."""
        while self._queued:
            by_use = sorted(
                self._queued.values(), key=lambda a: a.running_weight / a.share
            )
            effects = [
                effect
                for account in by_use
                for effect in self._start_account(account, now_ms)
            ]
            if not effects:
                return
            yield from effects

    def wait_ms(self, account: _account.Account) -> float:
        """Returns how long a new request of an account would wait."""
        if not account.queued:
            return 0.0
        limit = max(account.limit, account.owned_limit, 1.0)
        residence_ms = account.residence_ms(self.limits.ms_per_token)
        return account.waiting_weight * residence_ms / limit

    def _other_uses(
        self, remote: _remote_usage.RemoteUsage
    ) -> _remote_usage.Uses:
        name = self.limits.capacity.service
        fresh, lapsed = remote.fresh(name), remote.lapsed(name)
        factor = self.limits.lapsed_factor(self._running, fresh, lapsed)
        return _remote_usage.combine(fresh, lapsed, factor)

    def _refusal(
        self, account: _account.Account, offer: _types.Offer, now_ms: int
    ) -> results.Refusal | None:
        wait_ms = self.wait_ms(account)
        if account.queued >= account.max_queued_requests:
            return _refusals.queue_full(offer, wait_ms)
        if not self.limits.capacity.concurrency:
            # Without a capacity the wait cannot be estimated: the first
            # replica has just formed, or the last one may come back in time.
            return None
        late_ms = now_ms + wait_ms - _last_start_ms(account, offer, now_ms)
        if account.queued and late_ms > 0:
            return _refusals.cannot_start_in_time(offer, late_ms)
        return None

    def _refuse_late(self, now_ms: int) -> Iterator[_types.Effect]:
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, _, work = heapq.heappop(self._deadlines)
            account = self.accounts[work.offer.account]
            request_id = work.offer.request_id
            if request_id in account.waiting:
                refusal = _refusals.queue_timeout(
                    work.offer, self.wait_ms(account)
                )
            elif request_id in account.resumable:
                refusal = _refusals.preempted(work.offer, self.wait_ms(account))
            else:
                continue
            account.leave_queue(request_id)
            self._note_queue(account)
            yield _types.Refuse(request_id, refusal)

    def _start_account(
        self, account: _account.Account, now_ms: int
    ) -> Iterator[_types.Effect]:
        """Starts work of one account as far as its limits allow."""
        while account.queued and self.limits.capacity.concurrency:
            work = account.next_work()
            after = account.running_weight + work.weight
            if after <= account.owned_limit or not account.running:
                if not self._has_slot() and not self._is_due(work, now_ms):
                    victim = self._victim(account)
                    if victim is None:
                        return
                    yield self._suspend(victim, now_ms)
                priority = PRIORITY_OWNED
            elif after <= account.limit:
                priority = PRIORITY_LENT
            elif self._running_weight + work.weight <= self._limit_sum:
                priority = PRIORITY_SLACK
            else:
                return
            yield self._start(account, work, priority, now_ms)

    def _has_slot(self) -> bool:
        capacity = self.limits.capacity
        slots = capacity.concurrency * (1 + OVERCOMMIT)
        slots += capacity.straggler_concurrency
        return self._running + self._other_running < slots

    def _is_due(self, work: _account.Work, now_ms: int) -> bool:
        return now_ms - work.queued_ms >= OWNED_WAIT_MS

    def _victim(self, account: _account.Account) -> _account.Work | None:
        """Returns lent work to suspend, unless a slot is free soon."""
        residence_ms = account.residence_ms(self.limits.ms_per_token)
        if residence_ms / max(1, self._running) < SUSPEND_BEYOND_MS:
            return None
        by_use = sorted(
            self.accounts.values(),
            key=lambda a: a.running_weight / a.share,
            reverse=True,
        )
        works = (w for a in by_use for w in a.lent_work(MAX_SUSPENSIONS))
        return next(works, None)

    def _take_back(
        self, account: _account.Account, now_ms: int
    ) -> Iterator[_types.Effect]:
        """Suspends lent work that would not end soon enough by itself."""
        residence_ms = account.residence_ms(self.limits.ms_per_token)
        ends = account.running_weight * ATTRITION_MS / max(1.0, residence_ms)
        excess = account.running_weight - account.limit - ends
        lasting = min(excess, account.excess)
        account.excess = excess
        for work in tuple(account.lent_work(MAX_SUSPENSIONS)):
            if lasting < work.weight:
                return
            lasting -= work.weight
            yield self._suspend(work, now_ms)

    def _enqueue(
        self, account: _account.Account, work: _account.Work, end_ms: int
    ) -> None:
        account.wait(work)
        self._note_queue(account)
        self._pushed += 1
        heapq.heappush(self._deadlines, (end_ms, self._pushed, work))

    def _note_queue(self, account: _account.Account) -> None:
        if account.queued:
            self._queued[account.name] = account
        else:
            self._queued.pop(account.name, None)

    def _note_stopped(self, work: _account.Work) -> None:
        self._running -= 1
        self._running_weight -= work.weight

    def _start(
        self,
        account: _account.Account,
        work: _account.Work,
        priority: int,
        now_ms: int,
    ) -> _types.Start:
        account.start(work, priority, now_ms)
        self._note_queue(account)
        self._running += 1
        self._running_weight += work.weight
        return _types.Start(work.offer.request_id, priority)

    def _suspend(self, work: _account.Work, now_ms: int) -> _types.Suspend:
        account = self.accounts[work.offer.account]
        account.stop(work.offer.request_id)
        self._note_stopped(work)
        work.suspensions += 1
        self._enqueue(account, work, now_ms + MAX_SUSPENDED_MS)
        return _types.Suspend(work.offer.request_id)


def _last_start_ms(
    account: _account.Account, offer: _types.Offer, now_ms: int
) -> int:
    """Returns when an offer must start to get its first token in time.

    However slow first tokens were lately, part of the time is left for the
    queue: otherwise a short disturbance would have everything refused.
    """
    left_ms = offer.first_token_deadline_ms - now_ms
    first_token_ms = min(account.first_token_ms, MAX_START_FRACTION * left_ms)
    return offer.first_token_deadline_ms - round(first_token_ms)
