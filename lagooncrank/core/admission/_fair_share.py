"""Fair shares in estimated tokens, kept over all entries."""

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

#: Limits are set anew, and usage is to be reported, this often.
LIMITS_INTERVAL_MS = 400


@_policies.ADMISSION_POLICIES.register("fair_share")
class FairShare:
    """Gives every account its share and lends what is idle."""

    def __init__(self, config: _policies.AdmissionConfig) -> None:
        self._config = config
        self._declarations = model.Declarations()
        self._services: dict[model.ServiceName, _service.Service] = {}
        self._service_of: dict[
            model.RequestId, tuple[_service.Service, _account.Account]
        ] = {}
        self._remote_usage = _remote_usage.RemoteUsage()
        self._sequence = 0
        self._limits_due_ms = 0

    @classmethod
    def from_config(cls, config: _policies.AdmissionConfig) -> "FairShare":
        """Returns a policy object for the entry that `config` names."""
        return cls(config)

    def configure(
        self, declarations: model.Declarations, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Takes the declared accounts and shares into use."""
        self._declarations = declarations
        for service in self._services.values():
            self._declare_accounts(service)
        return self._noted(self._set_all_limits(now_ms))

    def set_capacity(
        self, capacity: _types.Capacity, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Takes the capacity of one service."""
        service = self._service_named(capacity.service)
        before = service.limits.capacity
        service.limits.capacity = capacity
        slots = (capacity.concurrency, capacity.straggler_concurrency)
        if slots == (before.concurrency, before.straggler_concurrency):
            return ()
        return self._noted(self._set_limits(service, now_ms))

    def offer(
        self, offer: _types.Offer, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Starts, queues or refuses a request."""
        service = self._service_named(offer.service)
        account = service.accounts.get(offer.account)
        if account is None or not account.declared:
            refusal = _refusals.forbidden(offer)
            self._config.counts.count_refusal(refusal.code, offer.account)
            return (_types.Refuse(offer.request_id, refusal),)
        self._service_of[offer.request_id] = service, account
        return self._noted(service.offer(account, offer, now_ms))

    def first_token(
        self, request_id: model.RequestId, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Learns how long a first token takes."""
        work = self._running(request_id)
        if work is not None:
            work.output_tokens += 1
            if not work.suspensions:
                _, account = self._service_of[request_id]
                account.learn_first_token(work, now_ms)
        return ()

    def tokens(
        self, request_id: model.RequestId, count: int, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Counts output tokens."""
        work = self._running(request_id)
        if work is not None:
            work.output_tokens += count
        return ()

    def ended(
        self, request_id: model.RequestId, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Gives the slot or queue place of a request away."""
        found = self._service_of.pop(request_id, None)
        if found is None:
            return ()
        service, account = found
        return self._noted(service.ended(account, request_id, now_ms))

    def tick(self, now_ms: int) -> Sequence[_types.Effect]:
        """Refuses late requests and, when due, sets the limits anew."""
        effects: list[_types.Effect] = []
        if now_ms >= self._limits_due_ms:
            self._limits_due_ms = now_ms + LIMITS_INTERVAL_MS
            self._remote_usage.expire(now_ms)
            effects += self._noted(self._set_all_limits(now_ms))
        for service in self._services.values():
            effects += self._noted(service.tick(now_ms))
        return effects

    def usage_report(self, now_ms: int) -> _types.UsageReport:
        """Returns the use of every account that has any here."""
        self._sequence += 1
        reports = (
            _service_usage(name, service)
            for name, service in self._services.items()
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
        """Takes another entry's report; limits follow at the next tick."""
        if report.node_id != self._config.node_id:
            self._remote_usage.observe(report, now_ms)
        return ()

    def _running(self, request_id: model.RequestId) -> _account.Work | None:
        found = self._service_of.get(request_id)
        return found[1].running.get(request_id) if found else None

    def _service_named(self, name: model.ServiceName) -> _service.Service:
        service = self._services.get(name)
        if service is None:
            service = _service.Service(_limits.Limits())
            service.limits.capacity = _types.Capacity(name, 0, 0, 0)
            service.peers = _limits.Peers(self._config.entries, 0)
            self._services[name] = service
            self._declare_accounts(service)
        return service

    def _declare_accounts(self, service: _service.Service) -> None:
        name = service.limits.capacity.service
        declared = [
            account
            for account in self._declarations.client_accounts
            if not account.services or name in account.services
        ]
        service.limits.total_share = sum(a.share for a in declared)
        for declaration in declared:
            account = service.accounts.setdefault(
                declaration.name,
                _account.Account(declaration.name, declaration.share),
            )
            account.declared = True
            account.share = declaration.share
            account.max_queued_requests = declaration.max_queued_requests
        names = {declaration.name for declaration in declared}
        for gone in service.accounts.keys() - names:
            service.accounts[gone].declared = False

    def _set_all_limits(self, now_ms: int) -> Iterator[_types.Effect]:
        for service in self._services.values():
            yield from self._set_limits(service, now_ms)

    def _set_limits(
        self, service: _service.Service, now_ms: int
    ) -> Iterator[_types.Effect]:
        return service.set_limits(
            self._remote_usage, self._config.entries, now_ms
        )

    def _noted(
        self, effects: Iterable[_types.Effect]
    ) -> tuple[_types.Effect, ...]:
        """Counts effects and forgets refused requests."""
        noted = tuple(effects)
        for effect in noted:
            if isinstance(effect, _types.Start):
                continue
            _, account = self._service_of[effect.request_id]
            if isinstance(effect, _types.Suspend):
                self._config.counts.count_suspension(account.name)
                continue
            self._config.counts.count_refusal(effect.refusal.code, account.name)
            del self._service_of[effect.request_id]
        return noted


def _service_usage(
    name: model.ServiceName, service: _service.Service
) -> _types.ServiceUsage:
    usages = [
        _types.AccountUsage(
            account.name,
            name,
            running=len(account.running),
            running_centiweight=round(100 * account.running_weight),
            wanted_centiweight=round(100 * account.wanted_weight),
        )
        for account in service.accounts.values()
        if not account.idle
    ]
    return _types.ServiceUsage.from_usages(name, usages)
