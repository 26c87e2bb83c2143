"""What operators state about routes, services and accounts, as one plan.

A plan is the decoded form of an operator's document. Its revisions are
numbered by the operator, and the highest number is in force.
"""

import dataclasses
import enum

from lagooncrank.model import _identity


class RequestKind(enum.StrEnum):
    """What may be done with a request that may already have run."""

    #: May run any number of times.
    IDEMPOTENT = "idempotent"
    #: May run once at most.
    AT_MOST_ONCE = "once"
    #: Answered by a stream of events; may run once unless it is resumable.
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficSplit:
    """A service that takes part of a route's requests."""

    service: _identity.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path."""

    name: str
    host: str
    #: Begins and ends with a slash.
    path_prefix: str
    kind: RequestKind
    #: Longest time that a request may be kept waiting.
    timeout_ms: int
    #: Time to the answer, or to a stream's first event, that is on time.
    target_latency_ms: int
    splits: tuple[TrafficSplit, ...]
    #: Backend servers that one request may be sent to.
    max_attempts: int = 1
    #: 0 is the most urgent.
    priority: int = 5
    #: Whether requests need no key.
    is_public: bool = False
    #: Whether a broken stream may go on at another backend server.
    is_resumable: bool = False
    #: Longest pause between events that is on time; 0 if not stated.
    max_event_gap_ms: int = 0

    @property
    def is_retry_safe(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class ModelProfile:
    """A model of an engine service, whose replicas are groups of engines."""

    name: str
    #: Engines of one replica.
    engines_per_replica: int
    #: Part of the work at the start, 0.0 to 1.0.
    initial_share: float
    #: Factor on every step time of a replica.
    step_time_factor: float
    #: Time to load it from the weight store.
    load_ms: int
    #: Time to load it from the host's own copy.
    warm_load_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """How the engines of a service behave."""

    models: tuple[ModelProfile, ...]
    #: Requests that a replica batches.
    slots: int
    kv_capacity_tokens: int
    #: Loads that may start per second over all engines.
    max_loads_per_s: float
    #: Concurrent loads beyond which each becomes slower.
    max_concurrent_loads: int
    step_ms: float = 0.0
    step_per_request_ms: float = 0.0
    prefill_tokens_per_s: float = 0.0
    #: Steps that a pass with writers executes.
    steps_per_pass: int = 1
    #: Mean tokens of a prompt and of an answer.
    mean_prompt_tokens: int = 0
    mean_answer_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceConfig:
    """A service and the bounds of its backend servers."""

    name: _identity.ServiceName
    health_path: str
    #: Connections that one backend server takes from all callers together.
    max_connections: int
    #: None for a plain service.
    engine: EngineProfile | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AccountConfig:
    """A client account and the keys that name it."""

    account: _identity.ClientAccountId
    keys: tuple[str, ...]
    #: Takes precedence over the route's; None where none is stated.
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send and how long they may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclasses.dataclass(frozen=True, slots=True)
class ServingConfig:
    """Everything that operators state, under one version."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceConfig, ...]
    accounts: tuple[AccountConfig, ...] = ()
    limits: CallerLimits = CallerLimits()
