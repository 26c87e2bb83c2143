"""Admission in order of arrival, without shares; the baseline."""

from collections.abc import Iterator
from collections.abc import Sequence

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import counting
from lagooncrank.core.admission import _policies
from lagooncrank.core.admission import _types

#: Retry-After of a request that timed out in the queue.
RETRY_AFTER_MS = 1_000


class _ServiceQueue:
    """Requests for one service in order of arrival."""

    def __init__(self) -> None:
        self.concurrency = 0
        self.running: set[model.RequestId] = set()
        self.waiting: dict[model.RequestId, _types.Offer] = {}

    def start_next(self) -> Iterator[_types.Effect]:
        while self.waiting and len(self.running) < self.concurrency:
            request_id = next(iter(self.waiting))
            del self.waiting[request_id]
            self.running.add(request_id)
            yield _types.Start(request_id, priority=0)

    def expired_offers(self, now_ms: int) -> list[_types.Offer]:
        return [
            offer
            for offer in self.waiting.values()
            if offer.first_token_deadline_ms <= now_ms
        ]


@_policies.ADMISSION_POLICIES.register("first_come")
class FirstComeFirstServed:
    """Starts requests in order of arrival while a slot is free."""

    def __init__(self, node_id: model.NodeId, incarnation: int) -> None:
        self._node_id = node_id
        self._incarnation = incarnation
        self._counters: counting.EventCounters = counting.NullEventCounters()
        self._services: dict[model.ServiceName, _ServiceQueue] = {}
        self._service_of: dict[model.RequestId, model.ServiceName] = {}
        self._sequence = 0

    @classmethod
    def from_config(
        cls, config: _policies.AdmissionConfig
    ) -> "FirstComeFirstServed":
        """Returns a policy object for the entry that `config` names."""
        policy = cls(config.node_id, config.incarnation)
        policy._counters = config.counters
        return policy

    def configure(
        self, declarations: model.Declarations, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Does nothing, as shares and targets are not used."""
        return ()

    def set_capacity(
        self, capacity: _types.Capacity, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Updates the number of slots and starts requests in free ones."""
        queue = self._queue(capacity.service)
        queue.concurrency = capacity.concurrency
        return tuple(queue.start_next())

    def offer(
        self, offer: _types.Offer, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Queues a request and starts it if a slot is free."""
        queue = self._queue(offer.service)
        queue.waiting[offer.request_id] = offer
        self._service_of[offer.request_id] = offer.service
        return tuple(queue.start_next())

    def first_token(
        self, request_id: model.RequestId, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Ignores first tokens."""
        return ()

    def tokens(
        self, request_id: model.RequestId, count: int, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Ignores tokens."""
        return ()

    def ended(
        self, request_id: model.RequestId, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Releases the slot or the queue position of a request."""
        service = self._service_of.pop(request_id, None)
        if service is None:
            return ()
        queue = self._queue(service)
        queue.running.discard(request_id)
        queue.waiting.pop(request_id, None)
        return tuple(queue.start_next())

    def tick(self, now_ms: int) -> Sequence[_types.Effect]:
        """Refuses queued requests whose first-token deadline has passed."""
        effects: list[_types.Effect] = []
        for queue in self._services.values():
            for offer in queue.expired_offers(now_ms):
                effects.append(self._refuse(queue, offer))
        return effects

    def usage_report(self, now_ms: int) -> _types.UsageReport:
        """Returns an empty report, as entries do not coordinate."""
        self._sequence += 1
        return _types.UsageReport(
            self._node_id, self._incarnation, self._sequence, ()
        )

    def observe_usage(
        self, report: _types.UsageReport, now_ms: int
    ) -> Sequence[_types.Effect]:
        """Ignores the reports of other entries."""
        return ()

    def _queue(self, service: model.ServiceName) -> _ServiceQueue:
        return self._services.setdefault(service, _ServiceQueue())

    def _refuse(
        self, queue: _ServiceQueue, offer: _types.Offer
    ) -> _types.Refuse:
        del queue.waiting[offer.request_id]
        del self._service_of[offer.request_id]
        self._counters.count_refusal(
            results.ResultCode.QUEUE_TIMEOUT, offer.account
        )
        refusal = results.Refusal(
            results.ResultCode.QUEUE_TIMEOUT,
            f"request {offer.request_id} waited past its first-token "
            f"deadline for service {offer.service}; retry later",
            retry_after_ms=RETRY_AFTER_MS,
        )
        return _types.Refuse(offer.request_id, refusal)
