"""Replicas: groups of instances that serve a model as a whole."""

import dataclasses
import enum
from typing import Any

from lagooncrank.model import _identity


class ReplicaState(enum.StrEnum):
    """Life cycle of a replica."""

    FORMING = "forming"
    LOADING = "loading"
    SERVING = "serving"
    DRAINING = "draining"
    DISSOLVED = "dissolved"
    LOST = "lost"


#: States in which a replica holds its instances.
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
    """Assignment of instances to one replica, as the shared state holds it."""

    replica_id: _identity.ReplicaId
    service: _identity.ServiceName
    version: str
    fabric_domain_id: _identity.FabricDomainId
    #: Members; the first one takes requests for the whole replica.
    instances: tuple[_identity.InstanceId, ...]
    #: Backend server of each member, in the order of `instances`.
    backend_servers: tuple[_identity.BackendServerId, ...]
    #: Number that every order to the members carries.
    fencing_number: int
    #: Raised by one at each change of the replica.
    epoch: int = 0
    state: ReplicaState = ReplicaState.FORMING
    #: Role that the members' load orders name.
    role: str = "mixed"
    #: Adapters that the members' load orders name.
    adapters: tuple[str, ...] = ()

    @property
    def holds_instances(self) -> bool:
        """Whether no other replica may use the instances."""
        return self.state in INSTANCE_HOLDING_STATES

    def with_changes(self, **changes: Any) -> "Replica":
        """Returns a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)
