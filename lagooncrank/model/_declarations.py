"""What operators declare, as checked data.

`lagooncrank.settings` reads these from YAML and checks them.
"""

import dataclasses
from typing import Any

from lagooncrank.model import _identity


@dataclasses.dataclass(frozen=True, slots=True)
class ModelService:
    """A model that callers ask for by name."""

    name: _identity.ServiceName
    version: str
    #: Replicas wanted.
    replicas: int
    #: Planned work never leaves fewer serving replicas than this.
    replicas_floor: int
    instances_per_replica: int
    #: Replicas formed where instances would be idle; 0 means `replicas`.
    max_replicas: int = 0
    #: Accelerators that each member instance must have at least.
    accelerators_per_instance: int = 8
    #: Adapters loaded beside the model.
    adapters: tuple[str, ...] = ()
    #: Role of the replicas, such as "mixed", "prefill" or "decode".
    role: str = "mixed"
    #: Requests that one replica runs at once.
    concurrency_per_replica: int = 32
    #: Tokens that one replica generates per second when full.
    tokens_per_s_per_replica: int = 2_000
    max_output_tokens: int = 4_096
    first_token_target_ms: int = 1_300
    between_tokens_target_ms: int = 51
    #: Bytes of weights that each member loads.
    weight_bytes_per_instance: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PlainService:
    """A service that answers ordinary HTTP calls."""

    name: _identity.ServiceName
    #: False where a call must run at most once.
    repeatable: bool
    timeout_ms: int = 10_000
    #: Path that tells the outcome of a key, with "{key}" in it, or None.
    outcome_lookup_path: str | None = None
    #: How long the answer of a finished call is kept.
    answer_retention_ms: int = 86_400_000


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """An organisation or team that sends requests."""

    name: _identity.ClientAccountId
    #: SHA-256 of each accepted bearer key, in lower-case hexadecimal.
    key_sha256s: tuple[str, ...]
    #: Weight of the account when capacity is scarce.
    share: int
    first_token_target_ms: int = 1_300
    max_queued_requests: int = 200
    #: Service names allowed; empty allows all.
    services: tuple[_identity.ServiceName, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRules:
    """How repair weighs its two harms, and what it holds back."""

    #: Cost of one second in which one wanted replica does not serve.
    group_downtime_weight: float = 1.0
    #: Cost of one second in which one accelerator serves nothing.
    stranded_accelerator_weight: float = 0.01
    #: Instances per fabric domain kept free for the next failure.
    spare_instances: int = 0
    #: Wait for a silent member before the replica is formed anew.
    pause_grace_ms: int = 5_000
    #: Wait after which a flapping instance is trusted again.
    hold_down_ms: int = 60_000
    #: Longest time between sending an order and its taking effect.
    max_order_ms: int = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class WeightStoreRules:
    """Rate limit of the store that engines load weights from."""

    address: str = ""
    bytes_per_s: int = 10_000_000_000
    concurrent_loads: int = 8


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRules:
    """How long word of others is trusted."""

    #: A backend server unheard for this long gets no new work.
    announcement_ms: int = 2_500
    #: An entry without quorum contact for this long takes no new work.
    configuration_ms: int = 10_000
    #: How long callers may keep the answer of `GET /v1/entries`.
    entries_keep_for_ms: int = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRules:
    """Limits on attempts beyond the first."""

    #: Retries allowed per first attempt, over the account's recent requests.
    budget_ratio: float = 0.1
    #: Retries that a quiet account may always make, per minute.
    min_retries_per_minute: int = 10
    #: Attempts for one request, the first included.
    max_attempts: int = 2
    #: How long a content that crashed a backend server stays suspect.
    suspicion_ms: int = 600_000


@dataclasses.dataclass(frozen=True, slots=True)
class Declarations:
    """The whole configuration that one revision puts in force."""

    model_services: tuple[ModelService, ...] = ()
    plain_services: tuple[PlainService, ...] = ()
    client_accounts: tuple[ClientAccount, ...] = ()
    placement: PlacementRules = PlacementRules()
    weight_store: WeightStoreRules = WeightStoreRules()
    leases: LeaseRules = LeaseRules()
    retries: RetryRules = RetryRules()

    def with_changes(self, **changes: Any) -> "Declarations":
        """Returns a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)
