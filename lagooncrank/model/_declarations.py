"""Declarations: the configuration that operators apply.

`lagooncrank.settings` reads and validates them from YAML.
"""

import dataclasses
from typing import Any

from lagooncrank.model import _identity


@dataclasses.dataclass(frozen=True, slots=True)
class ModelService:
    """A model that callers request by name."""

    name: _identity.ServiceName
    version: str
    #: Target number of replicas.
    replicas: int
    #: Minimum number of serving replicas during planned changes.
    replicas_floor: int
    instances_per_replica: int
    #: Limit on replicas formed on otherwise idle instances; 0: `replicas`.
    max_replicas: int = 0
    #: Minimum number of accelerators of each member instance.
    accelerators_per_instance: int = 8
    #: Adapters loaded with the model.
    adapters: tuple[str, ...] = ()
    #: Role of the replicas, such as "mixed", "prefill" or "decode".
    role: str = "mixed"
    #: Requests that one replica runs concurrently.
    concurrency_per_replica: int = 32
    #: Tokens that one replica generates per second at full load.
    tokens_per_s_per_replica: int = 2_000
    max_output_tokens: int = 4_096
    first_token_target_ms: int = 1_300
    between_tokens_target_ms: int = 51
    #: Size of the weights that each member loads.
    weight_bytes_per_instance: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PlainService:
    """A service that answers ordinary HTTP calls."""

    name: _identity.ServiceName
    #: False if a call must run at most once.
    repeatable: bool
    timeout_ms: int = 10_000
    #: Path, containing "{key}", that returns the outcome of a call, or None.
    outcome_lookup_path: str | None = None
    #: Retention time of the response of a finished call.
    answer_retention_ms: int = 86_400_000


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """An organisation or team that sends requests."""

    name: _identity.ClientAccountId
    #: SHA-256 of each accepted bearer key, in lower-case hexadecimal.
    key_sha256s: tuple[str, ...]
    #: Relative weight of the account when capacity is scarce.
    share: int
    first_token_target_ms: int = 1_300
    max_queued_requests: int = 200
    #: Services that the account may use; empty allows all.
    services: tuple[_identity.ServiceName, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRules:
    """Costs, reserves and delays for the repair of replicas."""

    #: Cost of one second in which one declared replica does not serve.
    group_downtime_weight: float = 1.0
    #: Cost of one second in which one accelerator does not serve.
    stranded_accelerator_weight: float = 0.01
    #: Instances per fabric domain reserved for the next failure.
    spare_instances: int = 0
    #: Wait for an unresponsive member before the replica is formed again.
    pause_grace_ms: int = 5_000
    #: Time before an instance is used again after flapping.
    hold_down_ms: int = 60_000
    #: Longest time from sending an order to its effect.
    max_order_ms: int = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class WeightStoreRules:
    """Address and limits of the store from which engines load weights."""

    address: str = ""
    bytes_per_s: int = 10_000_000_000
    concurrent_loads: int = 8


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRules:
    """Validity of information from other processes."""

    #: A backend server without announcements for this long gets no new work.
    announcement_ms: int = 2_500
    #: An entry without quorum contact for this long accepts no new work.
    configuration_ms: int = 10_000
    #: Time for which callers may cache the response to `GET /v1/entries`.
    entries_keep_for_ms: int = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRules:
    """Limits on attempts beyond the first."""

    #: Retries allowed per first attempt among the account's recent requests.
    budget_ratio: float = 0.1
    #: Retries allowed per minute regardless of the number of requests.
    min_retries_per_minute: int = 10
    #: Attempts for one request, including the first.
    max_attempts: int = 2
    #: Time for which content that crashed a backend server stays suspected.
    suspicion_ms: int = 600_000


@dataclasses.dataclass(frozen=True, slots=True)
class Declarations:
    """The complete configuration of one revision."""

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
