"""Tracks the orders of this leader that may still take effect."""

import dataclasses

from lagooncrank import model
from lagooncrank.core.placement import _types

#: Delay before an order without an observed effect is sent again.
RESEND_INTERVAL_MS = 2_000
#: How long the number of attempts is kept after the last one finished.
ATTEMPT_RETENTION_MS = 3_600_000


@dataclasses.dataclass(slots=True)
class _SentOrder:
    order: _types.Order
    last_sent_ms: int
    #: Number of transmissions without a response so far.
    unanswered_sends: int = 0
    state: _types.OrderState = _types.OrderState.UNANSWERED


@dataclasses.dataclass(frozen=True, slots=True)
class _FinishedOrders:
    """Orders with one purpose that were done or failed."""

    attempts: int
    finished_ms: int


class OrderTracker:
    """Keeps sent orders for as long as they may take effect.

    The purpose of an order is its id without the attempt number. Orders with
    the same purpose have the same instance, incarnation, fencing number and
    kind.

    Args:
        max_order_ms: Longest time from sending an order to its effect.
    """

    def __init__(self, max_order_ms: int) -> None:
        self.max_order_ms = max_order_ms
        self._sent: dict[model.InstanceId, dict[str, _SentOrder]] = {}
        self._finished: dict[str, _FinishedOrders] = {}

    def attempts(self, purpose: str) -> int:
        """Returns how many orders with this purpose have finished."""
        finished = self._finished.get(purpose)
        return 0 if finished is None else finished.attempts

    def is_due(
        self, instance_id: model.InstanceId, order_id: str, now_ms: int
    ) -> bool:
        """Returns whether an order should be sent or resent now."""
        sent = self._find(instance_id, order_id)
        if sent is not None:
            return now_ms >= sent.last_sent_ms + RESEND_INTERVAL_MS
        finished = self._finished.get(_purpose(order_id))
        return (
            finished is None
            or now_ms >= finished.finished_ms + RESEND_INTERVAL_MS
        )

    def is_accepted(self, instance_id: model.InstanceId, order_id: str) -> bool:
        """Returns whether the engine confirmed that it executes the order."""
        sent = self._find(instance_id, order_id)
        accepted = (_types.OrderState.ACCEPTED, _types.OrderState.DONE)
        return sent is not None and sent.state in accepted

    def record_sent(self, outgoing: _types.OutgoingOrder, now_ms: int) -> None:
        """Records that an order is being sent now."""
        orders = self._sent.setdefault(outgoing.instance_id, {})
        order_id = outgoing.order.order_id
        sent = orders.setdefault(order_id, _SentOrder(outgoing.order, now_ms))
        sent.last_sent_ms = now_ms
        sent.unanswered_sends += 1

    def record_result(self, result: _types.OrderResult, now_ms: int) -> None:
        """Records the outcome of sending an order once.

        If an order is needed again after it was done or failed, it gets a new
        id, because an engine ignores orders whose id it already knows.
        """
        sent = self._find(result.instance_id, result.order_id)
        if sent is None:
            return
        sent.state = result.state
        if result.state is not _types.OrderState.UNANSWERED:
            sent.unanswered_sends = max(0, sent.unanswered_sends - 1)
        if result.state in (_types.OrderState.DONE, _types.OrderState.FAILED):
            purpose = _purpose(result.order_id)
            attempts = int(result.order_id.rpartition("/")[2])
            self._finished[purpose] = _FinishedOrders(attempts + 1, now_ms)

    def quiescent_from_ms(
        self,
        instance_id: model.InstanceId,
        kind: _types.OrderKind,
        fencing_number: int,
    ) -> int:
        """Returns when the last other order can no longer reach an instance.

        Args:
            instance_id: Instance to which a new order would be sent.
            kind: Kind of the new order.
            fencing_number: Fencing number of the new order. Orders of the
                same kind and number are not counted, as they request the
                same.
        """
        new = (kind, fencing_number)
        return max(
            (
                sent.last_sent_ms + self.max_order_ms
                for sent in self._sent.get(instance_id, {}).values()
                if sent.unanswered_sends > 0
                and (sent.order.kind, sent.order.fencing_number) != new
            ),
            default=0,
        )

    def expire(self, now_ms: int) -> None:
        """Drops orders that can no longer take effect, and old attempts."""
        self._finished = {
            purpose: finished
            for purpose, finished in self._finished.items()
            if now_ms < finished.finished_ms + ATTEMPT_RETENTION_MS
        }
        for instance_id, orders in tuple(self._sent.items()):
            remaining = {
                order_id: sent
                for order_id, sent in orders.items()
                if now_ms < sent.last_sent_ms + self.max_order_ms
            }
            if remaining:
                self._sent[instance_id] = remaining
            else:
                del self._sent[instance_id]

    def _find(
        self, instance_id: model.InstanceId, order_id: str
    ) -> _SentOrder | None:
        return self._sent.get(instance_id, {}).get(order_id)


def _purpose(order_id: str) -> str:
    return order_id.rpartition("/")[0]
