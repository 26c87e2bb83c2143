"""What backend servers say of themselves."""

import dataclasses
import enum
from typing import Any

from lagooncrank.model import _identity


class BackendServerKind(enum.StrEnum):
    """What a backend server runs."""

    MODEL_ENGINE = "model_engine"
    PLAIN_SERVICE = "plain_service"


class BackendServerState(enum.StrEnum):
    """Whether a backend server wants new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of one backend server; it lags what the server does now."""

    #: Requests that the server works on.
    running: int = 0
    #: Requests that wait inside the server.
    queued: int = 0
    #: Used part of the KV cache, 0.0 to 1.0.
    kv_used_fraction: float = 0.0
    #: Tokens generated per second over the last reporting period.
    tokens_per_s: float = 0.0
    #: Age of the figures when the announcement was made, in milliseconds.
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedModel:
    """What a model engine holds in memory, as its last order left it."""

    #: Model service that the order named.
    service: _identity.ServiceName
    #: Replica that the engine is a member of.
    replica_id: _identity.ReplicaId
    #: Model version loaded.
    version: str
    #: Fencing number of the order.
    fencing_number: int
    #: False while weights are still being loaded.
    ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """One message of `POST /v1/announce`."""

    backend_server_id: _identity.BackendServerId
    #: IP address and port that takes requests and orders, as "ip:port".
    address: str
    instance_id: _identity.InstanceId
    failure_domain_id: _identity.FailureDomainId
    #: Empty for plain services.
    fabric_domain_id: _identity.FabricDomainId
    kind: BackendServerKind
    #: Higher for each start of the process.
    incarnation: int
    #: Higher for each announcement of one incarnation.
    sequence: int
    state: BackendServerState = BackendServerState.READY
    #: Accelerators that the server drives.
    accelerators: int = 0
    #: Plain services offered; empty for model engines.
    serves: tuple[_identity.ServiceName, ...] = ()
    #: What a model engine has loaded, if anything.
    loaded: LoadedModel | None = None
    #: Whether the engine refuses orders with an old fencing number.
    checks_fencing: bool = False
    load: LoadReport = LoadReport()

    def with_changes(self, **changes: Any) -> "Announcement":
        """Returns a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)

    def is_newer_than(self, other: "Announcement") -> bool:
        """Returns whether this was said after `other` by the same server."""
        mine = (self.incarnation, self.sequence)
        return mine > (other.incarnation, other.sequence)
