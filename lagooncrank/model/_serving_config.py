"""Routes, services and accounts, as decoded from the operators' document.

Operators number the versions of the document; the highest number is in force.
Deployments whose nodes discover each other through seeds use a document, the
others `Declarations`.
"""

import dataclasses
import enum

from lagooncrank.model import _identity


class RequestKind(enum.StrEnum):
    """Whether a request may be retried after it may have run."""

    #: May run any number of times.
    IDEMPOTENT = "idempotent"
    #: Must run at most once.
    AT_MOST_ONCE = "once"
    #: The response is an event stream; must run at most once unless resumable.
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficSplit:
    """A service and its weight in the traffic of a route."""

    service: _identity.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests to one host below one path."""

    name: str
    host: str
    #: Begins and ends with a slash.
    path_prefix: str
    kind: RequestKind
    #: Longest time that a request may wait for its response.
    timeout_ms: int
    #: Target time to the response, or to the first event of a stream.
    target_latency_ms: int
    splits: tuple[TrafficSplit, ...]
    #: Maximum number of backend servers to which one request is sent.
    max_attempts: int = 1
    #: 0 is the highest priority.
    priority: int = 5
    #: Whether requests require no key.
    is_public: bool = False
    #: Whether a failed stream may be resumed on another backend server.
    is_resumable: bool = False
    #: Target for the longest time between events; 0 if not specified.
    max_event_gap_ms: int = 0

    @property
    def is_retry_safe(self) -> bool:
        """Whether a request may be retried after it may have run."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class ModelProfile:
    """A model of an engine service; a replica of it is a group of engines."""

    name: str
    engines_per_replica: int
    #: Expected share of the load at the start, 0.0 to 1.0.
    initial_share: float
    #: Multiplier for the step times of a replica.
    step_time_factor: float
    #: Time to load the weights from the weight store.
    load_ms: int
    #: Time to load the weights from a copy on the host.
    warm_load_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """Models, capacity and timing of the engines of a service."""

    models: tuple[ModelProfile, ...]
    #: Requests that a replica runs concurrently in a batch.
    slots: int
    kv_capacity_tokens: int
    #: Loads that may start per second across all engines.
    max_loads_per_s: float
    #: Concurrent loads above which every load becomes slower.
    max_concurrent_loads: int
    step_ms: float = 0.0
    step_per_request_ms: float = 0.0
    prefill_tokens_per_s: float = 0.0
    #: Steps executed in one pass while requests are generating tokens.
    steps_per_pass: int = 1
    #: Mean numbers of tokens in a prompt and in an answer.
    mean_prompt_tokens: int = 0
    mean_answer_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceConfig:
    """A service and the limits of its backend servers."""

    name: _identity.ServiceName
    health_path: str
    #: Connections that one backend server accepts in total.
    max_connections: int
    #: None for a plain service.
    engine: EngineProfile | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AccountConfig:
    """A client account and the keys that identify it."""

    account: _identity.ClientAccountId
    keys: tuple[str, ...]
    #: Overrides the priority of the route; None if not specified.
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclasses.dataclass(frozen=True, slots=True)
class ServingConfig:
    """The complete configuration of one document version."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceConfig, ...]
    accounts: tuple[AccountConfig, ...] = ()
    limits: CallerLimits = CallerLimits()
