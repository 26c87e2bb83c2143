"""What placement is told and what it decides."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import membership
from lagooncrank.core import state


class OrderKind(enum.StrEnum):
    """What an order asks of a model engine."""

    LOAD = "load"
    UNLOAD = "unload"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"
    EXPORT_KV = "export_kv"
    IMPORT_KV = "import_kv"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Body of `POST /orders` to one model engine."""

    #: Same for each resend, so that the engine carries it out once.
    order_id: str
    kind: OrderKind
    replica_id: model.ReplicaId
    service: model.ServiceName
    version: str
    #: Engines that check it refuse an order with a lower number.
    fencing_number: int
    #: Addresses of all members, by rank; empty except for a load.
    members: tuple[str, ...] = ()
    #: Place of the engine among the members.
    rank: int = 0
    adapters: tuple[str, ...] = ()
    role: str = "mixed"
    #: Bytes of weights that the engine loads.
    weight_bytes: int = 0


class OrderState(enum.StrEnum):
    """How far an engine is with an order."""

    ACCEPTED = "accepted"
    DONE = "done"
    FAILED = "failed"
    #: The engine took an order with a higher fencing number before.
    STALE = "stale"
    #: No answer came; the order may still take effect.
    UNANSWERED = "unanswered"
    #: The engine refused the connection, so nothing reached it.
    UNREACHED = "unreached"


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingOrder:
    """Send the order to the engine at `address`, while the lease holds."""

    instance_id: model.InstanceId
    address: str
    order: Order


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """How one sending of an order ended."""

    instance_id: model.InstanceId
    order_id: str
    state: OrderState


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterSnapshot:
    """What the leader knows at one step."""

    declarations: model.Declarations
    #: Replicas of the replicated state, ended ones included.
    replicas: Mapping[model.ReplicaId, model.Replica]
    #: Highest fencing number of the replicated state.
    last_fencing_number: int
    #: Backend servers heard within their lease at the leader.
    members: Sequence[membership.Member]
    #: Instances that an operator takes out of use.
    drained: frozenset[model.InstanceId] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What one step of placement wants done."""

    #: Changes to propose, in this order.
    commands: tuple[state.PutReplica, ...]
    #: Orders that earlier committed changes call for.
    orders: tuple[OutgoingOrder, ...]
    #: Why planned work waits.
    refusals: tuple[results.Refusal, ...] = ()
