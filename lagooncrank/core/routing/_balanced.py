"""Routing by estimated cost: load, speed, cached prefix and distance."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import zlib

from lagooncrank import model
from lagooncrank.core.routing import _homes
from lagooncrank.core.routing import _load
from lagooncrank.core.routing import _policies
from lagooncrank.core.routing import _prefix
from lagooncrank.core.routing import _speed
from lagooncrank.core.routing import _types

#: Targets weighed for one attempt; more are sampled by request id.
MAX_CANDIDATES = 64
#: Cost of a full batch against an empty one.
FULL_BATCH_MS = 1_000.0
#: Cost of a request over the batch size, in mean waits for a free place.
QUEUED_WAITS = 3.0
#: Time in the batch expected before any answer ended.
FIRST_GUESS_RESIDENCE_MS = 3_200.0
#: Weight of the newest answer in the mean time in the batch.
RESIDENCE_GAIN = 0.02
#: Cost of a prompt token that must be computed.
PREFILL_MS_PER_TOKEN = 0.1
#: Cost of a target in another failure domain.
DISTANCE_MS = 4.0
#: Cost of a target that is at home at another entry.
AWAY_MS = 1_000.0
#: A straggler that no lent work measured anew for this long gets owned work.
OWNED_PROBE_AFTER_MS = 30_000


class _TargetState:
    """What the router knows of one target."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.load = _load.TargetLoad()
        self.speed = _speed.TargetSpeed()


class _Service:
    """What the router knows of the targets of one service."""

    def __init__(self, config: _policies.RouterConfig) -> None:
        self.states: dict[str, _TargetState] = {}
        self.homes = _homes.Homes(config.node_id, config.entries)
        self.comparison = _speed.Comparison()
        #: Mean time that an answer holds its place in a batch.
        self.residence_ms = FIRST_GUESS_RESIDENCE_MS

    def update(self, targets: Sequence[_types.Target], now_ms: int) -> None:
        """Compares speeds and assigns homes, when due."""
        speeds = (state.speed for state in self.states.values())
        self.comparison.update(speeds, now_ms)
        self.homes.update(targets, now_ms)
        if len(self.states) > 2 * len(targets):
            self._forget_gone(targets)

    def _forget_gone(self, targets: Sequence[_types.Target]) -> None:
        present = {target.target_id for target in targets}
        for target_id in self.states.keys() - present:
            if not self.states[target_id].load.own:
                del self.states[target_id]

    def at_home(
        self, candidates: list[tuple[_types.Target, _TargetState]]
    ) -> list[tuple[_types.Target, _TargetState]]:
        """Returns the candidates at home here, or all if there are none."""
        homes = [
            (target, state)
            for target, state in candidates
            if self.homes.away(target.target_id) == 0
        ]
        return homes or candidates

    def learn_residence(self, duration_ms: int) -> None:
        """Moves the mean time in a batch towards one answer's."""
        difference_ms = duration_ms - self.residence_ms
        self.residence_ms += RESIDENCE_GAIN * difference_ms


@dataclasses.dataclass(slots=True)
class _Attempt:
    """An attempt in flight."""

    service: _Service
    state: _TargetState
    prefill_tokens: int
    sent_ms: int
    last_token_ms: int = -1


@_policies.ROUTERS.register("balanced")
class Balanced:
    """Chooses the target with the lowest estimated cost."""

    def __init__(self, config: _policies.RouterConfig) -> None:
        self._config = config
        self._services: dict[model.ServiceName, _Service] = {}
        self._attempts: dict[model.RequestId, _Attempt] = {}
        self._hints = _prefix.PrefixHints()
        self._silent: frozenset[model.NodeId] = frozenset()

    @classmethod
    def from_config(cls, config: _policies.RouterConfig) -> "Balanced":
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
            for target in _sample(query, targets)
            if target.target_id not in query.excluded
        ]
        if query.isolated:
            candidates = service.at_home(candidates)
        probe = _due_probe(query, candidates, now_ms)
        if probe is not None:
            return probe
        usable = [
            (target, state)
            for target, state in candidates
            if not state.speed.avoided(now_ms)
        ]
        if not usable:
            return _first_to_return(candidates)
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
        if state.speed.slow:
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
        self, request_id: model.RequestId, end: _types.AttemptEnd, now_ms: int
    ) -> None:
        """Takes an attempt off its target and judges the target by its end."""
        attempt = self._attempts.pop(request_id, None)
        if attempt is None:
            return
        self._end_prefill(attempt)
        attempt.state.load.change(-1, now_ms)
        speed = attempt.state.speed
        if end is _types.AttemptEnd.COMPLETED:
            speed.completed()
            attempt.service.learn_residence(now_ms - attempt.sent_ms)
        elif end is _types.AttemptEnd.REFUSED:
            speed.pause_briefly(now_ms)
        elif end is not _types.AttemptEnd.CANCELLED:
            speed.pause(now_ms)

    def cached(
        self, target_id: str, added: Sequence[int], removed: Sequence[int]
    ) -> None:
        """Notes digests that entered and left a target's cache."""
        self._hints.cached(target_id, added, removed)

    def cache_lost(self, target_id: str) -> None:
        """Forgets every cache hint of a target."""
        self._hints.lost(target_id)

    def set_silent(self, entries: Collection[model.NodeId]) -> None:
        """Takes the entries that were not heard from lately."""
        self._silent = frozenset(entries)
        for service in self._services.values():
            service.homes.silent = self._silent

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

    def _service_named(self, name: model.ServiceName) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = _Service(self._config)
            service.homes.silent = self._silent
            self._services[name] = service
        return service

    def _state(
        self, states: dict[str, _TargetState], target: _types.Target
    ) -> _TargetState:
        state = states.get(target.target_id)
        if state is None or state.incarnation != target.incarnation:
            self._hints.lost(target.target_id)
            state = _TargetState(target.incarnation)
            states[target.target_id] = state
        return state

    def _cost_ms(
        self,
        query: _types.RouteQuery,
        service: _Service,
        target: _types.Target,
        state: _TargetState,
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
        away = service.homes.away(target.target_id)
        cost_ms += AWAY_MS * away * (1 - cached)
        if target.failure_domain_id != self._config.failure_domain_id:
            cost_ms += DISTANCE_MS
        return cost_ms

    def _end_prefill(self, attempt: _Attempt) -> None:
        attempt.state.load.own_prefill_tokens -= attempt.prefill_tokens
        attempt.prefill_tokens = 0


def _sample(
    query: _types.RouteQuery, targets: Sequence[_types.Target]
) -> Iterator[_types.Target]:
    """Yields the targets to weigh, different ones for each request."""
    count = len(targets)
    if count <= MAX_CANDIDATES:
        yield from targets
        return
    first = zlib.crc32(query.request_id.encode())
    for index in range(MAX_CANDIDATES):
        yield targets[(first + index * count // MAX_CANDIDATES) % count]


def _due_probe(
    query: _types.RouteQuery,
    candidates: Iterable[tuple[_types.Target, _TargetState]],
    now_ms: int,
) -> _types.Target | None:
    """Returns a slow target that is due to be measured anew."""
    patience_ms = 0 if query.priority > 0 else OWNED_PROBE_AFTER_MS
    for target, state in candidates:
        due_ms = state.speed.paused_until_ms + patience_ms
        if state.speed.slow and due_ms <= now_ms:
            return target
    return None


def _first_to_return(
    candidates: Sequence[tuple[_types.Target, _TargetState]],
) -> _types.Target | None:
    """Returns the avoided target whose pause ends first."""
    if not candidates:
        return None
    by_pause = min(candidates, key=lambda p: p[1].speed.paused_until_ms)
    return by_pause[0]
