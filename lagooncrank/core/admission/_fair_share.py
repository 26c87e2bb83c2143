"""Admission by fair shares of estimated tokens, across all entries."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence

from lagooncrank import model
from lagooncrank.core.admission import _account
from lagooncrank.core.admission import _limits
from lagooncrank.core.admission import _policies
from lagooncrank.core.admission import _refusals
from lagooncrank.core.admission import _remote_usage
from lagooncrank.core.admission import _service
from lagooncrank.core.admission import _types

#: Interval at which limits are updated and usage should be reported.
LIMITS_INTERVAL_MS = 400


@_policies.ADMISSION_POLICIES.register("fair_share")
class FairShare:
    """Guarantees every account its share and lends unused capacity.

    Each entry divides the capacity of a service by the declared shares, using
    its own usage and the usage that the other entries report.
    """

    def __init__(self, config: _policies.AdmissionConfig) -> None:
        self._config = config
        self._declarations = model.Declarations()
        self._schedulers: dict[
            model.ServiceName, _service.ServiceScheduler
        ] = {}
        #: Scheduler and account of each request that waits or runs.
        self._active_requests: dict[
            model.RequestId, tuple[_service.ServiceScheduler, _account.Account]
        ] = {}
        self._remote_usage = _remote_usage.RemoteUsageTable()
        self._sequence = 0
        self._limits_due_ms = 0

    @classmethod
    def from_config(cls, config: _policies.AdmissionConfig) -> "FairShare":
        """Returns a policy object for the entry that `config` names."""
        return cls(config)

    def configure(
        self, declarations: model.Declarations, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Applies the declared accounts and shares."""
        self._declarations = declarations
        for scheduler in self._schedulers.values():
            self._declare_accounts(scheduler)
        return self._record_effects(self._update_all_limits(now_ms))

    def set_capacity(
        self, capacity: _types.Capacity, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Updates the capacity of one service."""
        scheduler = self._get_scheduler(capacity.service)
        previous = scheduler.limits.capacity
        scheduler.limits.capacity = capacity
        slots = (capacity.concurrency, capacity.straggler_concurrency)
        if slots == (previous.concurrency, previous.straggler_concurrency):
            return ()
        return self._record_effects(self._update_limits(scheduler, now_ms))

    def offer(
        self, offer: _types.Offer, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Starts, queues or refuses a request."""
        scheduler = self._get_scheduler(offer.service)
        account = scheduler.accounts.get(offer.account)
        if account is None or not account.is_declared:
            refusal = _refusals.forbidden(offer)
            self._config.counters.count_refusal(refusal.code, offer.account)
            return (_types.Refuse(offer.request_id, refusal),)
        self._active_requests[offer.request_id] = scheduler, account
        return self._record_effects(scheduler.offer(account, offer, now_ms))

    def first_token(
        self, request_id: model.RequestId, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Measures the time from start to first token."""
        request = self._running_request(request_id)
        if request is not None:
            request.output_tokens += 1
            if not request.suspensions:
                _, account = self._active_requests[request_id]
                account.record_first_token(request, now_ms)
        return ()

    def tokens(
        self, request_id: model.RequestId, count: int, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Counts output tokens."""
        request = self._running_request(request_id)
        if request is not None:
            request.output_tokens += count
        return ()

    def ended(
        self, request_id: model.RequestId, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Releases the slot or the queue position of a request."""
        found = self._active_requests.pop(request_id, None)
        if found is None:
            return ()
        scheduler, account = found
        return self._record_effects(
            scheduler.ended(account, request_id, now_ms)
        )

    def tick(self, now_ms: int) -> Sequence[_types.Effect]:
        """Refuses late requests and, when due, updates the limits."""
        effects: list[_types.Effect] = []
        if now_ms >= self._limits_due_ms:
            self._limits_due_ms = now_ms + LIMITS_INTERVAL_MS
            self._remote_usage.expire(now_ms)
            effects += self._record_effects(self._update_all_limits(now_ms))
        for scheduler in self._schedulers.values():
            effects += self._record_effects(scheduler.tick(now_ms))
        return effects

    def usage_report(self, now_ms: int) -> _types.UsageReport:
        """Returns the usage of every account with requests at this entry."""
        self._sequence += 1
        reports = (
            _service_usage(name, scheduler)
            for name, scheduler in self._schedulers.items()
        )
        return _types.UsageReport(
            self._config.node_id,
            self._config.incarnation,
            self._sequence,
            tuple(report for report in reports if report.accounts),
        )

    def observe_usage(
        self, report: _types.UsageReport, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Stores another entry's report for the next update of the limits."""
        if report.node_id != self._config.node_id:
            self._remote_usage.observe(report, now_ms)
        return ()

    def _running_request(
        self, request_id: model.RequestId
    ) -> _account.ScheduledRequest | None:
        found = self._active_requests.get(request_id)
        return found[1].running.get(request_id) if found else None

    def _get_scheduler(
        self, name: model.ServiceName
    ) -> _service.ServiceScheduler:
        scheduler = self._schedulers.get(name)
        if scheduler is None:
            scheduler = _service.ServiceScheduler(_limits.ServiceLimits())
            scheduler.limits.capacity = _types.Capacity(name, 0, 0, 0)
            scheduler.entry_counts = _limits.EntryCounts(
                self._config.entries, 0
            )
            self._schedulers[name] = scheduler
            self._declare_accounts(scheduler)
        return scheduler

    def _declare_accounts(self, scheduler: _service.ServiceScheduler) -> None:
        name = scheduler.limits.capacity.service
        declared = [
            account
            for account in self._declarations.client_accounts
            if not account.services or name in account.services
        ]
        scheduler.limits.total_share = sum(a.share for a in declared)
        for declaration in declared:
            account = scheduler.accounts.setdefault(
                declaration.name,
                _account.Account(declaration.name, declaration.share),
            )
            account.is_declared = True
            account.share = declaration.share
            account.max_queued_requests = declaration.max_queued_requests
        names = {declaration.name for declaration in declared}
        for removed in scheduler.accounts.keys() - names:
            scheduler.accounts[removed].is_declared = False

    def _update_all_limits(self, now_ms: int) -> Iterator[_types.Effect]:
        for scheduler in self._schedulers.values():
            yield from self._update_limits(scheduler, now_ms)

    def _update_limits(
        self, scheduler: _service.ServiceScheduler, now_ms: int
    ) -> Iterator[_types.Effect]:
        return scheduler.update_limits(
            self._remote_usage, self._config.entries, now_ms
        )

    def _record_effects(
        self, effects: Iterable[_types.Effect]
    ) -> tuple[_types.Effect, ...]:
        """Counts refusals and suspensions and drops refused requests."""
        recorded = tuple(effects)
        for effect in recorded:
            if isinstance(effect, _types.Start):
                continue
            _, account = self._active_requests[effect.request_id]
            if isinstance(effect, _types.Suspend):
                self._config.counters.count_suspension(account.name)
                continue
            self._config.counters.count_refusal(
                effect.refusal.code, account.name
            )
            del self._active_requests[effect.request_id]
        return recorded


def _service_usage(
    name: model.ServiceName, scheduler: _service.ServiceScheduler
) -> _types.ServiceUsage:
    usages = [
        _types.AccountUsage(
            account.name,
            name,
            running=len(account.running),
            running_centiweight=round(100 * account.running_weight),
            wanted_centiweight=round(100 * account.wanted_weight),
        )
        for account in scheduler.accounts.values()
        if not account.is_idle
    ]
    return _types.ServiceUsage.from_usages(name, usages)
