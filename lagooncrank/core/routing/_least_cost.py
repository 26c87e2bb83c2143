"""Routing by estimated cost: load, speed, cached prefix and locality."""

from collections.abc import Collection
from collections.abc import Sequence
import dataclasses

from lagooncrank import model
from lagooncrank.core.routing import _cache_hints
from lagooncrank.core.routing import _candidates
from lagooncrank.core.routing import _policies
from lagooncrank.core.routing import _types

#: Cost of a full batch compared with an empty one.
FULL_BATCH_MS = 1_000.0
#: Cost of a request beyond the batch size, as a multiple of the mean wait for a
#: free slot.
QUEUE_COST_FACTOR = 3.0
#: Cost of a prompt token that must be computed.
PREFILL_MS_PER_TOKEN = 0.1
#: Cost of a target in another failure domain.
REMOTE_DOMAIN_MS = 4.0
#: Cost of a straggler, for attempts on borrowed capacity; lower than the cost
#: of queueing elsewhere.
STRAGGLER_MS = 1_200.0
#: Cost of a target whose home is another entry.
FOREIGN_HOME_MS = 1_000.0


@dataclasses.dataclass(slots=True)
class _Attempt:
    """An attempt in flight."""

    service: _candidates.ServiceState
    state: _candidates.TargetState
    prefill_tokens: int
    sent_ms: int
    last_token_ms: int = -1


@_policies.ROUTERS.register("balanced")
class LeastCostRouter:
    """Chooses the target with the lowest estimated cost."""

    def __init__(self, config: _policies.RouterConfig) -> None:
        self._config = config
        self._services: dict[model.ServiceName, _candidates.ServiceState] = {}
        self._attempts: dict[model.RequestId, _Attempt] = {}
        self._hints = _cache_hints.CacheHints()
        self._unresponsive: frozenset[model.NodeId] = frozenset()

    @classmethod
    def from_config(cls, config: _policies.RouterConfig) -> "LeastCostRouter":
        """Returns a router for the entry that `config` names."""
        return cls(config)

    def choose(
        self,
        query: _types.RouteQuery,
        targets: Sequence[_types.Target],
        now_ms: int,
    ) -> _types.Target | None:
        """Returns the allowed target with the lowest cost, or None."""
        service = self._service_state(query.service)
        service.update(targets, now_ms)
        candidates = [
            (target, self._target_state(service.targets, target))
            for target in _candidates.sample(query, targets, service.homes)
            if target.target_id not in query.excluded
        ]
        if query.isolated:
            candidates = service.filter_home(candidates, targets)
        probe = _candidates.due_probe(query, candidates, now_ms)
        if probe is not None:
            return probe
        usable = [
            (target, state)
            for target, state in candidates
            if state.health.is_usable(now_ms, borrowed=query.priority > 0)
        ]
        if not usable:
            return _candidates.first_usable(candidates)
        cheapest = min(
            usable,
            key=lambda pair: self._cost_ms(query, service, *pair),
        )
        return cheapest[0]

    def sent(
        self, query: _types.RouteQuery, target: _types.Target, now_ms: int
    ) -> None:
        """Adds an attempt to the load of its target."""
        service = self._service_state(query.service)
        state = self._target_state(service.targets, target)
        state.load.change(1, now_ms)
        state.load.own_prefill_tokens += query.prompt_tokens
        if state.health.is_straggler and state.health.probe_due_ms <= now_ms:
            state.health.restart_measurement(now_ms)
        self._attempts[query.request_id] = _Attempt(
            service, state, query.prompt_tokens, now_ms
        )

    def first_token(self, request_id: model.RequestId, now_ms: int) -> None:
        """Records that the prefill of an attempt is complete."""
        attempt = self._attempts.get(request_id)
        if attempt is not None:
            self._end_prefill(attempt)
            attempt.last_token_ms = now_ms

    def tokens(
        self, request_id: model.RequestId, count: int, now_ms: int
    ) -> None:
        """Adds the time since the last tokens to the target's speed."""
        attempt = self._attempts.get(request_id)
        if attempt is None or count < 1:
            return
        if attempt.last_token_ms >= 0:
            gap_ms = now_ms - attempt.last_token_ms
            attempt.state.health.add_tokens(count, gap_ms)
        attempt.last_token_ms = now_ms

    def ended(
        self,
        request_id: model.RequestId,
        outcome: _types.AttemptOutcome,
        now_ms: int,
    ) -> None:
        """Removes an attempt from its target and applies its outcome to it."""
        attempt = self._attempts.pop(request_id, None)
        if attempt is None:
            return
        self._end_prefill(attempt)
        attempt.state.load.change(-1, now_ms)
        health = attempt.state.health
        if outcome is _types.AttemptOutcome.COMPLETED:
            health.reset_backoff()
            attempt.service.record_residence(now_ms - attempt.sent_ms)
        elif outcome is _types.AttemptOutcome.REFUSED:
            health.pause_briefly(now_ms)
        elif outcome is not _types.AttemptOutcome.CANCELLED:
            health.pause(now_ms)

    def update_cache_hints(
        self, target_id: str, added: Sequence[int], removed: Sequence[int]
    ) -> None:
        """Records prefix digests added to and removed from a target's cache."""
        self._hints.update(target_id, added, removed)

    def clear_cache_hints(self, target_id: str) -> None:
        """Discards every cache hint of a target."""
        self._hints.clear(target_id)

    def set_unresponsive_entries(
        self, entries: Collection[model.NodeId]
    ) -> None:
        """Replaces the set of entries that this entry cannot reach."""
        self._unresponsive = frozenset(entries)
        for service in self._services.values():
            service.homes.unresponsive = self._unresponsive

    def stragglers(self, service: model.ServiceName) -> frozenset[str]:
        """Returns the ids of stragglers."""
        states = self._service_state(service).targets
        return frozenset(
            target_id
            for target_id, state in states.items()
            if state.health.is_straggler
        )

    def avoided(
        self, service: model.ServiceName, now_ms: int
    ) -> frozenset[str]:
        """Returns the ids of stragglers and of targets that failed recently.

        If all targets are such, none is avoided: a slow or failed target is
        better than none.
        """
        states = self._service_state(service).targets
        avoided = frozenset(
            target_id
            for target_id, state in states.items()
            if state.health.is_avoided(now_ms)
        )
        return avoided if len(avoided) < len(states) else frozenset()

    def _service_state(
        self, name: model.ServiceName
    ) -> _candidates.ServiceState:
        service = self._services.get(name)
        if service is None:
            service = _candidates.ServiceState(self._config)
            service.homes.unresponsive = self._unresponsive
            self._services[name] = service
        return service

    def _target_state(
        self, states: dict[str, _candidates.TargetState], target: _types.Target
    ) -> _candidates.TargetState:
        state = states.get(target.target_id)
        if state is None or state.incarnation != target.incarnation:
            self._hints.clear(target.target_id)
            state = _candidates.TargetState(target.incarnation)
            states[target.target_id] = state
        return state

    def _cost_ms(
        self,
        query: _types.RouteQuery,
        service: _candidates.ServiceState,
        target: _types.Target,
        state: _candidates.TargetState,
    ) -> float:
        slots = max(1, target.concurrency)
        load = state.load.running(target) + 1
        cached = self._hints.cached_fraction(
            target.target_id, query.prefix_digests
        )
        prefill_tokens = state.load.own_prefill_tokens + query.prompt_tokens * (
            1 - cached
        )
        cost_ms = (
            load / slots * FULL_BATCH_MS
            + max(0.0, load - slots)
            * service.residence_ms
            / slots
            * QUEUE_COST_FACTOR
            + prefill_tokens * PREFILL_MS_PER_TOKEN
        )
        if state.health.is_straggler:
            cost_ms += STRAGGLER_MS
        remoteness = service.homes.remoteness(target.target_id)
        cost_ms += FOREIGN_HOME_MS * remoteness * (1 - cached)
        if target.failure_domain_id != self._config.failure_domain_id:
            cost_ms += REMOTE_DOMAIN_MS
        return cost_ms

    def _end_prefill(self, attempt: _Attempt) -> None:
        attempt.state.load.own_prefill_tokens -= attempt.prefill_tokens
        attempt.prefill_tokens = 0
