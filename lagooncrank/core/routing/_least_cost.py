"""Routing by estimated cost: load, speed, cached prefix and distance."""

from collections.abc import Collection
from collections.abc import Sequence
import dataclasses

from lagooncrank import model
from lagooncrank.core.routing import _cache_hints
from lagooncrank.core.routing import _candidates
from lagooncrank.core.routing import _policies
from lagooncrank.core.routing import _types

#: Cost of a full batch against an empty one.
FULL_BATCH_MS = 1_000.0
#: Cost of a request over the batch size, in mean waits for a free place.
QUEUED_WAITS = 3.0
#: Cost of a prompt token that must be computed.
PREFILL_MS_PER_TOKEN = 0.1
#: Cost of a target in another failure domain.
DISTANCE_MS = 4.0
#: Cost of a straggler, for lent work: less than to queue elsewhere.
STRAGGLER_MS = 1_200.0
#: Cost of a target that is at home at another entry.
AWAY_MS = 1_000.0


@dataclasses.dataclass(slots=True)
class _Attempt:
    """An attempt in flight."""

    service: _candidates.Service
    state: _candidates.TargetState
    prefill_tokens: int
    sent_ms: int
    last_token_ms: int = -1


@_policies.ROUTERS.register("balanced")
class LeastCostRouter:
    """Chooses the target with the lowest estimated cost."""

    def __init__(self, config: _policies.RouterConfig) -> None:
        self._config = config
        self._services: dict[model.ServiceName, _candidates.Service] = {}
        self._attempts: dict[model.RequestId, _Attempt] = {}
        self._hints = _cache_hints.PrefixHints()
        self._silent: frozenset[model.NodeId] = frozenset()

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
        """Returns the cheapest allowed target, or None if there is none."""
        service = self._service_named(query.service)
        service.update(targets, now_ms)
        candidates = [
            (target, self._state(service.states, target))
            for target in _candidates.sample(query, targets, service.homes)
            if target.target_id not in query.excluded
        ]
        if query.isolated:
            candidates = service.at_home(candidates, targets)
        probe = _candidates.due_probe(query, candidates, now_ms)
        if probe is not None:
            return probe
        usable = [
            (target, state)
            for target, state in candidates
            if state.speed.usable(now_ms, lent=query.priority > 0)
        ]
        if not usable:
            return _candidates.first_to_return(candidates)
        cheapest = min(
            usable,
            key=lambda pair: self._cost_ms(query, service, *pair),
        )
        return cheapest[0]

    def sent(
        self, query: _types.RouteQuery, target: _types.Target, now_ms: int
    ) -> None:
        """Counts an attempt against its target."""
        service = self._service_named(query.service)
        state = self._state(service.states, target)
        state.load.change(1, now_ms)
        state.load.own_prefill_tokens += query.prompt_tokens
        if state.speed.slow and state.speed.probe_due_ms <= now_ms:
            state.speed.try_again(now_ms)
        self._attempts[query.request_id] = _Attempt(
            service, state, query.prompt_tokens, now_ms
        )

    def first_token(self, request_id: model.RequestId, now_ms: int) -> None:
        """Notes that an attempt's prompt was computed."""
        attempt = self._attempts.get(request_id)
        if attempt is not None:
            self._end_prefill(attempt)
            attempt.last_token_ms = now_ms

    def tokens(
        self, request_id: model.RequestId, count: int, now_ms: int
    ) -> None:
        """Measures the time between tokens."""
        attempt = self._attempts.get(request_id)
        if attempt is None or count < 1:
            return
        if attempt.last_token_ms >= 0:
            gap_ms = now_ms - attempt.last_token_ms
            attempt.state.speed.add_tokens(count, gap_ms)
        attempt.last_token_ms = now_ms

    def ended(
        self,
        request_id: model.RequestId,
        end: _types.AttemptOutcome,
        now_ms: int,
    ) -> None:
        """Takes an attempt off its target and judges the target by its end."""
        attempt = self._attempts.pop(request_id, None)
        if attempt is None:
            return
        self._end_prefill(attempt)
        attempt.state.load.change(-1, now_ms)
        speed = attempt.state.speed
        if end is _types.AttemptOutcome.COMPLETED:
            speed.completed()
            attempt.service.learn_residence(now_ms - attempt.sent_ms)
        elif end is _types.AttemptOutcome.REFUSED:
            speed.pause_briefly(now_ms)
        elif end is not _types.AttemptOutcome.CANCELLED:
            speed.pause(now_ms)

    def update_cache_hints(
        self, target_id: str, added: Sequence[int], removed: Sequence[int]
    ) -> None:
        """Notes digests that entered and left a target's cache."""
        self._hints.cached(target_id, added, removed)

    def clear_cache_hints(self, target_id: str) -> None:
        """Forgets every cache hint of a target."""
        self._hints.lost(target_id)

    def set_unresponsive_entries(
        self, entries: Collection[model.NodeId]
    ) -> None:
        """Takes the entries that were not heard from lately."""
        self._silent = frozenset(entries)
        for service in self._services.values():
            service.homes.silent = self._silent

    def stragglers(self, service: model.ServiceName) -> frozenset[str]:
        """Returns the targets that are slow."""
        states = self._service_named(service).states
        return frozenset(
            target_id for target_id, state in states.items() if state.speed.slow
        )

    def avoided(
        self, service: model.ServiceName, now_ms: int
    ) -> frozenset[str]:
        """Returns the stragglers and the targets that failed lately.

        If that is all of them, none is avoided: trying beats waiting.
        """
        states = self._service_named(service).states
        avoided = frozenset(
            target_id
            for target_id, state in states.items()
            if state.speed.avoided(now_ms)
        )
        return avoided if len(avoided) < len(states) else frozenset()

    def _service_named(self, name: model.ServiceName) -> _candidates.Service:
        service = self._services.get(name)
        if service is None:
            service = _candidates.Service(self._config)
            service.homes.silent = self._silent
            self._services[name] = service
        return service

    def _state(
        self, states: dict[str, _candidates.TargetState], target: _types.Target
    ) -> _candidates.TargetState:
        state = states.get(target.target_id)
        if state is None or state.incarnation != target.incarnation:
            self._hints.lost(target.target_id)
            state = _candidates.TargetState(target.incarnation)
            states[target.target_id] = state
        return state

    def _cost_ms(
        self,
        query: _types.RouteQuery,
        service: _candidates.Service,
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
            * QUEUED_WAITS
            + prefill_tokens * PREFILL_MS_PER_TOKEN
        )
        if state.speed.slow:
            cost_ms += STRAGGLER_MS
        away = service.homes.away(target.target_id)
        cost_ms += AWAY_MS * away * (1 - cached)
        if target.failure_domain_id != self._config.failure_domain_id:
            cost_ms += DISTANCE_MS
        return cost_ms

    def _end_prefill(self, attempt: _Attempt) -> None:
        attempt.state.load.own_prefill_tokens -= attempt.prefill_tokens
        attempt.prefill_tokens = 0
