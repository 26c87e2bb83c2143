"""Replicas: groups of instances that together serve a model."""

import dataclasses
import enum
from typing import Any

from lagooncrank.model import _identity


class ReplicaState(enum.StrEnum):
    """Lifecycle state of a replica."""

    FORMING = "forming"
    LOADING = "loading"
    SERVING = "serving"
    DRAINING = "draining"
    DISSOLVED = "dissolved"
    LOST = "lost"


#: States in which no other replica may use the instances of a replica.
INSTANCE_HOLDING_STATES = frozenset(
    {
        ReplicaState.FORMING,
        ReplicaState.LOADING,
        ReplicaState.SERVING,
        ReplicaState.DRAINING,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """Assignment of instances to one replica in the shared state."""

    replica_id: _identity.ReplicaId
    service: _identity.ServiceName
    version: str
    fabric_domain_id: _identity.FabricDomainId
    #: Members; the first one receives the requests of the replica.
    instances: tuple[_identity.InstanceId, ...]
    #: Backend server of each member, in the order of `instances`.
    backend_servers: tuple[_identity.BackendServerId, ...]
    #: Fencing number of every order to the members.
    fencing_number: int
    #: Increases by one with each change of the replica.
    epoch: int = 0
    state: ReplicaState = ReplicaState.FORMING
    #: Role that the load orders of the members specify.
    role: str = "mixed"
    #: Adapters that the load orders of the members specify.
    adapters: tuple[str, ...] = ()

    @property
    def holds_instances(self) -> bool:
        """Whether no other replica may use the instances."""
        return self.state in INSTANCE_HOLDING_STATES

    def with_changes(self, **changes: Any) -> "Replica":
        """Returns a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)
