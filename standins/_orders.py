"""Order handling of a simulated engine, without sockets or timers."""

import dataclasses

from lagooncrank import model
from lagooncrank.core import placement


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Reply to one order."""

    state: placement.OrderState
    #: Number of the order; the highest one so far if the order was refused.
    fencing_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Weights:
    """Identifies the weights that one member holds."""

    service: model.ServiceName
    version: str
    rank: int


class OrderExecutor:
    """Executes the orders that one start of an engine receives.

    The engine keeps its weights if the next load order is for the same
    service, version and rank; then only its replica changes.

    Args:
        checks_fencing: Whether orders with an old fencing number are refused.
    """

    def __init__(self, checks_fencing: bool) -> None:
        self.checks_fencing = checks_fencing
        self.loaded: model.LoadedModel | None = None
        #: Bytes of weights that are still to be loaded.
        self.missing_bytes = 0
        #: Executed orders, oldest first.
        self.executed: list[placement.Order] = []
        self._highest_fencing_number = 0
        self._states: dict[str, placement.OrderState] = {}
        self._weights: _Weights | None = None
        self._load_order_id = ""

    @property
    def is_loading(self) -> bool:
        """Whether weights are being loaded."""
        return self.loaded is not None and not self.loaded.ready

    def execute(self, order: placement.Order) -> Reply:
        """Executes an order once and returns its current state."""
        state = self._states.get(order.order_id)
        if state is not None:
            return Reply(state, order.fencing_number)
        if (
            self.checks_fencing
            and order.fencing_number < self._highest_fencing_number
        ):
            return Reply(
                placement.OrderState.STALE, self._highest_fencing_number
            )
        self._highest_fencing_number = max(
            order.fencing_number, self._highest_fencing_number
        )
        self.executed.append(order)
        self._states[order.order_id] = placement.OrderState.DONE
        if order.kind is placement.OrderKind.LOAD:
            self._load(order)
        elif order.kind is placement.OrderKind.UNLOAD:
            self._unload()
        return Reply(self._states[order.order_id], order.fencing_number)

    def add_loaded_bytes(self, loaded_bytes: int) -> None:
        """Adds bytes loaded from the weight store.

        With the last byte, the load is done and the engine becomes ready.
        """
        self.missing_bytes = max(0, self.missing_bytes - loaded_bytes)
        if self.loaded is not None and self.missing_bytes == 0:
            self.loaded = dataclasses.replace(self.loaded, ready=True)
            self._states[self._load_order_id] = placement.OrderState.DONE

    def _load(self, order: placement.Order) -> None:
        weights = _Weights(order.service, order.version, order.rank)
        if weights != self._weights:
            self._weights = weights
            self.missing_bytes = order.weight_bytes
        self._fail_running_load()
        self._load_order_id = order.order_id
        self._states[order.order_id] = placement.OrderState.ACCEPTED
        self.loaded = model.LoadedModel(
            service=order.service,
            replica_id=order.replica_id,
            version=order.version,
            fencing_number=order.fencing_number,
            ready=False,
        )
        if self.missing_bytes == 0:
            self.add_loaded_bytes(0)

    def _unload(self) -> None:
        self._fail_running_load()
        self.loaded = None
        self._weights = None
        self.missing_bytes = 0

    def _fail_running_load(self) -> None:
        if self.is_loading:
            self._states[self._load_order_id] = placement.OrderState.FAILED
