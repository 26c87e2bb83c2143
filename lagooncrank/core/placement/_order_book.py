"""Orders that this leader sent, and which of them may still take effect."""

import dataclasses

from lagooncrank import model
from lagooncrank.core.placement import _types

#: Wait before an order without a visible effect is sent again.
RESEND_MS = 2_000
#: How long the attempts of a purpose are counted after the last one.
ENDED_RETENTION_MS = 3_600_000


@dataclasses.dataclass(slots=True)
class _Sent:
    order: _types.Order
    last_sent_ms: int
    #: Sendings without an answer so far.
    unanswered: int = 0
    state: _types.OrderState = _types.OrderState.UNANSWERED


@dataclasses.dataclass(frozen=True, slots=True)
class _Ended:
    attempts: int
    ended_ms: int


class OrderBook:
    """Remembers sent orders for as long as they may take effect.

    Args:
        max_order_ms: Longest time from sending an order to its effect.
    """

    def __init__(self, max_order_ms: int) -> None:
        self.max_order_ms = max_order_ms
        self._sent: dict[model.InstanceId, dict[str, _Sent]] = {}
        self._ended: dict[str, _Ended] = {}

    def attempt(self, stem: str) -> int:
        """Returns how many orders of this purpose ended so far.

        Args:
            stem: Order id without the number of the attempt.
        """
        ended = self._ended.get(stem)
        return 0 if ended is None else ended.attempts

    def is_due(
        self, instance_id: model.InstanceId, order_id: str, now_ms: int
    ) -> bool:
        """Returns whether an order should be sent, or sent again."""
        sent = self._find(instance_id, order_id)
        if sent is not None:
            return now_ms >= sent.last_sent_ms + RESEND_MS
        ended = self._ended.get(_stem(order_id))
        return ended is None or now_ms >= ended.ended_ms + RESEND_MS

    def is_accepted(self, instance_id: model.InstanceId, order_id: str) -> bool:
        """Returns whether the engine said that it carries the order out."""
        sent = self._find(instance_id, order_id)
        accepted = (_types.OrderState.ACCEPTED, _types.OrderState.DONE)
        return sent is not None and sent.state in accepted

    def note_sent(self, send: _types.OutgoingOrder, now_ms: int) -> None:
        """Notes that an order is handed to the network now."""
        orders = self._sent.setdefault(send.instance_id, {})
        order_id = send.order.order_id
        sent = orders.setdefault(order_id, _Sent(send.order, now_ms))
        sent.last_sent_ms = now_ms
        sent.unanswered += 1

    def note_answer(self, answer: _types.OrderResult, now_ms: int) -> None:
        """Notes how one sending of an order ended.

        An order that is done or failed gets a new id if it is needed again,
        since the engine does nothing for an id it knows.
        """
        sent = self._find(answer.instance_id, answer.order_id)
        if sent is None:
            return
        sent.state = answer.state
        if answer.state is not _types.OrderState.UNANSWERED:
            sent.unanswered = max(0, sent.unanswered - 1)
        if answer.state in (_types.OrderState.DONE, _types.OrderState.FAILED):
            stem = _stem(answer.order_id)
            attempt = int(answer.order_id.rpartition("/")[2])
            self._ended[stem] = _Ended(attempt + 1, now_ms)

    def quiet_from_ms(
        self,
        instance_id: model.InstanceId,
        kind: _types.OrderKind,
        fencing_number: int,
    ) -> int:
        """Returns from when no other order can reach an instance any more.

        Args:
            instance_id: The instance that would take a new order.
            kind: Kind of the new order.
            fencing_number: Number of the new order. Orders of its kind that
                carry the same number ask for the same.
        """
        new = (kind, fencing_number)
        return max(
            (
                sent.last_sent_ms + self.max_order_ms
                for sent in self._sent.get(instance_id, {}).values()
                if sent.unanswered > 0
                and (sent.order.kind, sent.order.fencing_number) != new
            ),
            default=0,
        )

    def expire(self, now_ms: int) -> None:
        """Forgets orders that can no longer take effect."""
        self._ended = {
            stem: ended
            for stem, ended in self._ended.items()
            if now_ms < ended.ended_ms + ENDED_RETENTION_MS
        }
        for instance_id, orders in tuple(self._sent.items()):
            kept = {
                order_id: sent
                for order_id, sent in orders.items()
                if now_ms < sent.last_sent_ms + self.max_order_ms
            }
            if kept:
                self._sent[instance_id] = kept
            else:
                del self._sent[instance_id]

    def _find(
        self, instance_id: model.InstanceId, order_id: str
    ) -> _Sent | None:
        return self._sent.get(instance_id, {}).get(order_id)


def _stem(order_id: str) -> str:
    return order_id.rpartition("/")[0]
