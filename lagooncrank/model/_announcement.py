"""Announcements that backend servers send about themselves."""

import dataclasses
import enum
from typing import Any

from lagooncrank.model import _identity


class BackendServerKind(enum.StrEnum):
    """Kind of service that a backend server runs."""

    MODEL_ENGINE = "model_engine"
    PLAIN_SERVICE = "plain_service"


class BackendServerState(enum.StrEnum):
    """State of a backend server, as the server announces it."""

    READY = "ready"
    #: Accepts no new work and will terminate.
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of one backend server, slightly out of date on arrival."""

    #: Requests that the server is processing.
    running: int = 0
    #: Requests queued inside the server.
    queued: int = 0
    #: Used fraction of the KV cache, 0.0 to 1.0.
    kv_used_fraction: float = 0.0
    #: Tokens generated per second over the last reporting period.
    tokens_per_s: float = 0.0
    #: Age of these values when the announcement was created.
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedModel:
    """Model in the memory of an engine, as its last order specified it."""

    #: Model service specified by the order.
    service: _identity.ServiceName
    #: Replica of which the engine is a member.
    replica_id: _identity.ReplicaId
    #: Version of the loaded model.
    version: str
    #: Fencing number of the order.
    fencing_number: int
    #: False until the weights are loaded.
    ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """One message of a backend server to `POST /v1/announce`."""

    backend_server_id: _identity.BackendServerId
    #: IP address and port for requests and orders, as "ip:port".
    address: str
    instance_id: _identity.InstanceId
    failure_domain_id: _identity.FailureDomainId
    #: Empty for plain services.
    fabric_domain_id: _identity.FabricDomainId
    kind: BackendServerKind
    #: Increases with each start of the process.
    incarnation: int
    #: Increases with each announcement of one incarnation.
    sequence: int
    state: BackendServerState = BackendServerState.READY
    #: Accelerators that the server uses.
    accelerators: int = 0
    #: Plain services offered; empty for model engines.
    serves: tuple[_identity.ServiceName, ...] = ()
    #: Model in the memory of a model engine; None if there is none.
    loaded: LoadedModel | None = None
    #: Whether the engine rejects orders with a stale fencing number.
    checks_fencing: bool = False
    load: LoadReport = LoadReport()

    def with_changes(self, **changes: Any) -> "Announcement":
        """Returns a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)

    def is_newer_than(self, other: "Announcement") -> bool:
        """Returns whether the server sent this after `other`."""
        mine = (self.incarnation, self.sequence)
        return mine > (other.incarnation, other.sequence)
