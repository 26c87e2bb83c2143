"""Requests of one client account for one service at one entry."""

from collections.abc import Iterator
import dataclasses

from lagooncrank import model
from lagooncrank.core.admission import _estimates
from lagooncrank.core.admission import _types

#: Mean output tokens assumed until an account's requests were measured.
INITIAL_OUTPUT_TOKENS = 256
#: Mean time from start to first token assumed until one was measured.
INITIAL_FIRST_TOKEN_MS = 150
#: Gain of the moving averages of output tokens and durations.
MEAN_GAIN = 0.05
#: Gain of the moving average of an account's fraction at this entry.
LOCAL_FRACTION_GAIN = 0.05


@dataclasses.dataclass(slots=True)
class ScheduledRequest:
    """A request that waits for a slot or runs."""

    offer: _types.Offer
    expected_output_tokens: int
    weight: float
    queued_ms: int
    #: Time of its latest start.
    started_ms: int = 0
    priority: int = 0
    output_tokens: int = 0
    suspensions: int = 0


class Account:
    """Queue, running requests and measured means of one account."""

    def __init__(self, name: model.ClientAccountId, share: int) -> None:
        self.name = name
        self.share = share
        #: Whether the current declarations contain the account.
        self.is_declared = True
        self.max_queued_requests = 0
        #: Weight that may run at this entry within the account's own share.
        self.owned_limit = 0.0
        #: `owned_limit` plus the weight lent by other accounts.
        self.limit = 0.0
        #: Running weight above `limit` at the latest update of the limits,
        #: without the weight that was expected to end soon.
        self.excess = 0.0
        #: Mean fraction of the account's running weight that is at this entry.
        self.local_fraction = _estimates.MovingAverage(0.0, LOCAL_FRACTION_GAIN)
        self.waiting: dict[model.RequestId, ScheduledRequest] = {}
        self.resumable: dict[model.RequestId, ScheduledRequest] = {}
        self.running: dict[model.RequestId, ScheduledRequest] = {}
        self.running_weight = 0.0
        self.waiting_weight = 0.0
        #: Weight of requests refused recently. Without it, an account with a
        #: short queue would seem to have little demand, because most of its
        #: requests are refused early.
        self.unmet_weight = 0.0
        self._mean_output_tokens = _estimates.MovingAverage(
            INITIAL_OUTPUT_TOKENS, MEAN_GAIN
        )
        self._mean_first_token_ms = _estimates.MovingAverage(
            INITIAL_FIRST_TOKEN_MS, MEAN_GAIN
        )
        self._mean_residence_ms: _estimates.MovingAverage | None = None

    @property
    def queued_count(self) -> int:
        """Number of waiting requests, including suspended ones."""
        return len(self.waiting) + len(self.resumable)

    @property
    def wanted_weight(self) -> float:
        """Weight that would start at this entry if there were capacity."""
        return self.waiting_weight + self.unmet_weight

    @property
    def is_idle(self) -> bool:
        """Whether the account has no running or waiting requests."""
        return not (self.running or self.waiting or self.resumable)

    @property
    def first_token_ms(self) -> float:
        """Mean time from start to first token, in milliseconds."""
        return self._mean_first_token_ms.value

    def residence_ms(self, ms_per_token: float) -> float:
        """Returns the mean time that a request occupies a slot."""
        if self._mean_residence_ms is None:
            return self._mean_output_tokens.value * ms_per_token
        return self._mean_residence_ms.value

    def new_request(self, offer: _types.Offer, now_ms: int) -> ScheduledRequest:
        """Returns the request of an offer, with estimated output and weight."""
        output_tokens = _estimates.expected_output(
            self._mean_output_tokens.value, offer.max_output_tokens
        )
        weight = _estimates.weight(offer.prompt_tokens, output_tokens)
        return ScheduledRequest(offer, output_tokens, weight, now_ms)

    def enqueue(self, request: ScheduledRequest) -> None:
        """Adds a request to the queue; suspended requests start first."""
        queue = self.resumable if request.suspensions else self.waiting
        queue[request.offer.request_id] = request
        self.waiting_weight += request.weight

    def next_request(self) -> ScheduledRequest:
        """Returns the request that starts next; the queue must not be empty."""
        queue = self.resumable or self.waiting
        return next(iter(queue.values()))

    def start(
        self, request: ScheduledRequest, priority: int, now_ms: int
    ) -> None:
        """Moves a request from the queue to the running requests."""
        self.remove_queued(request.offer.request_id)
        request.started_ms = now_ms
        request.priority = priority
        self.running[request.offer.request_id] = request
        self.running_weight += request.weight

    def remove_queued(
        self, request_id: model.RequestId
    ) -> ScheduledRequest | None:
        """Removes a request from the queue and returns it, if it is there."""
        request = self.waiting.pop(request_id, None)
        request = request or self.resumable.pop(request_id, None)
        if request is not None:
            self.waiting_weight -= request.weight
            self._reset_empty_sums()
        return request

    def remove_running(
        self, request_id: model.RequestId
    ) -> ScheduledRequest | None:
        """Removes a running request and returns it, if it is there."""
        request = self.running.pop(request_id, None)
        if request is not None:
            self.running_weight -= request.weight
            self._reset_empty_sums()
        return request

    def record_first_token(
        self, request: ScheduledRequest, now_ms: int
    ) -> None:
        """Adds the time to first token of a request to the mean."""
        self._mean_first_token_ms.add(now_ms - request.started_ms)

    def record_end(self, request: ScheduledRequest, now_ms: int) -> None:
        """Adds output and residence time of an ended request to the means."""
        if not request.output_tokens or request.suspensions:
            return
        self._mean_output_tokens.add(request.output_tokens)
        residence_ms = float(now_ms - request.started_ms)
        if self._mean_residence_ms is None:
            self._mean_residence_ms = _estimates.MovingAverage(
                residence_ms, MEAN_GAIN
            )
        self._mean_residence_ms.add(residence_ms)

    def preemptible_requests(
        self, max_suspensions: int
    ) -> Iterator[ScheduledRequest]:
        """Yields requests that run on lent capacity, the latest start first."""
        for request in reversed(self.running.values()):
            if request.priority > 0 and request.suspensions < max_suspensions:
                yield request

    def _reset_empty_sums(self) -> None:
        """Resets the sum of an empty set, which removes rounding errors."""
        if not self.running:
            self.running_weight = 0.0
        if not self.queued_count:
            self.waiting_weight = 0.0
