"""Input and output types of the placement planner."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import membership
from lagooncrank.core import state


class OrderKind(enum.StrEnum):
    """Kinds of orders to a model engine."""

    LOAD = "load"
    UNLOAD = "unload"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"
    EXPORT_KV = "export_kv"
    IMPORT_KV = "import_kv"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Body of `POST /orders` to one model engine."""

    #: The same in each resend, so that the engine runs the order only once.
    order_id: str
    kind: OrderKind
    replica_id: model.ReplicaId
    service: model.ServiceName
    version: str
    #: Engines that check fencing refuse orders with a lower number than the
    #: highest one received.
    fencing_number: int
    #: Addresses of all members, by rank; empty in orders other than a load.
    members: tuple[str, ...] = ()
    #: Rank of the engine among the members.
    rank: int = 0
    adapters: tuple[str, ...] = ()
    role: str = "mixed"
    #: Size of the weights that the engine loads.
    weight_bytes: int = 0


class OrderState(enum.StrEnum):
    """Progress of an order at its engine."""

    ACCEPTED = "accepted"
    DONE = "done"
    FAILED = "failed"
    #: The engine has already accepted an order with a higher fencing number.
    STALE = "stale"
    #: No response arrived; the order may still take effect.
    UNANSWERED = "unanswered"
    #: The connection failed before the order was written, so the engine did
    #: not receive it.
    UNREACHED = "unreached"


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingOrder:
    """An order to send to the engine at `address`.

    It must only be sent while the leader's lease is valid.
    """

    instance_id: model.InstanceId
    address: str
    order: Order


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """Outcome of sending an order once."""

    instance_id: model.InstanceId
    order_id: str
    state: OrderState


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterSnapshot:
    """Cluster state as the leader knows it when a planning step begins."""

    declarations: model.Declarations
    #: Replicas in the replicated state, including dissolved and lost ones.
    replicas: Mapping[model.ReplicaId, model.Replica]
    #: Highest fencing number in the replicated state.
    last_fencing_number: int
    #: Backend servers whose announcement lease is valid at the leader.
    members: Sequence[membership.Member]
    #: Instances that an operator is draining.
    drained: frozenset[model.InstanceId] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Result of one planning step."""

    #: Changes to propose to the replicated state, in this order.
    commands: tuple[state.PutReplica, ...]
    #: Orders that follow from changes committed earlier.
    orders: tuple[OutgoingOrder, ...]
    #: Reasons why planned changes are postponed.
    refusals: tuple[results.Refusal, ...] = ()
