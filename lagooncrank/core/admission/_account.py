"""One account's requests for one service at one entry."""

from collections.abc import Iterator
import dataclasses

from lagooncrank import model
from lagooncrank.core.admission import _estimates
from lagooncrank.core.admission import _types

#: Output tokens expected of an account that nothing is known of.
FIRST_GUESS_OUTPUT_TOKENS = 256
#: Time from start to first token expected before one was seen.
FIRST_GUESS_FIRST_TOKEN_MS = 150
#: Weight of the newest sample in the learned means.
GAIN = 0.05
#: Weight of the newest look at how an account spreads over the entries.
USUAL_PART_GAIN = 0.05


@dataclasses.dataclass(slots=True)
class Work:
    """A request that waits or runs."""

    offer: _types.Offer
    expected_output_tokens: int
    weight: float
    queued_ms: int
    #: When it was started last.
    started_ms: int = 0
    priority: int = 0
    output_tokens: int = 0
    suspensions: int = 0


class Account:
    """Queue, running work and learned means of one account."""

    def __init__(self, name: model.ClientAccountId, share: int) -> None:
        self.name = name
        self.share = share
        #: False once the declarations no longer name the account.
        self.declared = True
        self.max_queued_requests = 0
        #: Weight that may run at this entry out of the account's own share.
        self.owned_limit = 0.0
        #: `owned_limit` and what is lent.
        self.limit = 0.0
        #: Running weight over `limit` when limits were last set.
        self.excess = 0.0
        #: Part of the account's running weight that is usually at this entry.
        self.usual_part = _estimates.MovingAverage(0.0, USUAL_PART_GAIN)
        self.waiting: dict[model.RequestId, Work] = {}
        self.resumable: dict[model.RequestId, Work] = {}
        self.running: dict[model.RequestId, Work] = {}
        self.running_weight = 0.0
        self.waiting_weight = 0.0
        #: Weight that was refused lately; without it, demand would look met
        #: whenever a short queue makes requests be refused early.
        self.unmet_weight = 0.0
        self._output = _estimates.MovingAverage(FIRST_GUESS_OUTPUT_TOKENS, GAIN)
        self._first_token = _estimates.MovingAverage(
            FIRST_GUESS_FIRST_TOKEN_MS, GAIN
        )
        self._residence: _estimates.MovingAverage | None = None

    @property
    def queued(self) -> int:
        """Number of requests that wait."""
        return len(self.waiting) + len(self.resumable)

    @property
    def wanted_weight(self) -> float:
        """Weight that would start here if it could."""
        return self.waiting_weight + self.unmet_weight

    @property
    def idle(self) -> bool:
        """Whether nothing runs or waits here."""
        return not (self.running or self.waiting or self.resumable)

    @property
    def first_token_ms(self) -> float:
        """Mean time from start to first token."""
        return self._first_token.value

    def residence_ms(self, ms_per_token: float) -> float:
        """Returns the mean time that a request holds a slot."""
        if self._residence is None:
            return self._output.value * ms_per_token
        return self._residence.value

    def new_work(self, offer: _types.Offer, now_ms: int) -> Work:
        """Returns the work that an offer asks for, with its estimates."""
        expected = _estimates.expected_output(
            self._output.value, offer.max_output_tokens
        )
        weight = _estimates.weight(offer.prompt_tokens, expected)
        return Work(offer, expected, weight, now_ms)

    def wait(self, work: Work) -> None:
        """Puts work into the queue; suspended work goes first."""
        queue = self.resumable if work.suspensions else self.waiting
        queue[work.offer.request_id] = work
        self.waiting_weight += work.weight

    def next_work(self) -> Work:
        """Returns the work that starts next; some must wait."""
        queue = self.resumable or self.waiting
        return next(iter(queue.values()))

    def start(self, work: Work, priority: int, now_ms: int) -> None:
        """Moves work from the queue to the running."""
        self.leave_queue(work.offer.request_id)
        work.started_ms = now_ms
        work.priority = priority
        self.running[work.offer.request_id] = work
        self.running_weight += work.weight

    def leave_queue(self, request_id: model.RequestId) -> Work | None:
        """Takes work out of the queue, if it is there."""
        work = self.waiting.pop(request_id, None)
        work = work or self.resumable.pop(request_id, None)
        if work is not None:
            self.waiting_weight -= work.weight
            self._settle()
        return work

    def stop(self, request_id: model.RequestId) -> Work | None:
        """Takes work out of the running, if it is there."""
        work = self.running.pop(request_id, None)
        if work is not None:
            self.running_weight -= work.weight
            self._settle()
        return work

    def learn_first_token(self, work: Work, now_ms: int) -> None:
        """Learns the time to first token of work that just got it."""
        self._first_token.add(now_ms - work.started_ms)

    def learn_end(self, work: Work, now_ms: int) -> None:
        """Learns output and residence of work that ran to its end."""
        if not work.output_tokens or work.suspensions:
            return
        self._output.add(work.output_tokens)
        residence_ms = float(now_ms - work.started_ms)
        if self._residence is None:
            self._residence = _estimates.MovingAverage(residence_ms, GAIN)
        self._residence.add(residence_ms)

    def lent_work(self, max_suspensions: int) -> Iterator[Work]:
        """Yields running work on lent capacity, the last started first."""
        for work in reversed(self.running.values()):
            if work.priority > 0 and work.suspensions < max_suspensions:
                yield work

    def _settle(self) -> None:
        """Ends the drift of summed weights when nothing is left."""
        if not self.running:
            self.running_weight = 0.0
        if not self.queued:
            self.waiting_weight = 0.0
